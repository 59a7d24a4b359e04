#include "fleet/server_speed_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace tanager {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Events are averaged over spans of this length: a few events of one stream, and less than a span of noise.
constexpr std::chrono::milliseconds span_length{200};
// Older spans do not count. Long enough that spans of noise stay a minority of those in between.
constexpr std::chrono::seconds max_span_age{8};
// The speed of an engine has changed when all its spans of this time differ from its usual speed: longer than
// spans of noise, and less than the time in which callers notice a stream that has become slow.
constexpr std::chrono::milliseconds change_time{1'000};
// The spans of that time have to cover at least this much of it.
constexpr std::chrono::milliseconds min_change_span{600};
// Fewer spans say nothing about an engine's usual speed.
constexpr std::size_t min_spans = 4;
// Factor on the weight of older events in the fit over an engine's running requests: thousands count, so that
// one busy engine does not determine it.
constexpr double fit_decay = 0.9995;
constexpr double min_fit_events = 50;
// Noise is a property of the service rather than of the moment, and spans of it are rare at a single gateway.
constexpr std::chrono::duration<double> ratio_half_life{30};
constexpr std::chrono::seconds ratio_decay_interval{1};
constexpr double min_ratio_weight = 30;
// The share of the time in which events may be slower than what counts as noise. An output of a hundred
// events meets several spans of noise that take more of the time than this.
constexpr double max_slower_time_ratio = 0.08;
constexpr double ratio_bins_per_octave = 12;
// Differences up to this ratio are left to chance and to the load.
constexpr double min_speed_ratio = 1.5;
// Part of the gap objective that an event may take, noise included; the rest is for the network and for short
// prompts that are prefilled in between.
constexpr double max_event_gap_ratio = 0.8;
// Gap objectives are taken from routes that were in use within this time.
constexpr std::chrono::minutes max_gap_objective_age{5};
// Placement reads the speeds of all engines for each request; they are computed anew this often.
constexpr std::chrono::milliseconds speed_refresh_interval{100};

} // namespace

double server_speed_model::measured_span::event_milliseconds() const
{
    return this->milliseconds / this->events;
}

server_speed_model::server_speed_model(const clock& time) : time(time) {}

server_speed_model::engine_state& server_speed_model::state_of(const backend_server& engine)
{
    auto& state = this->engines[engine.id];
    if (state.incarnation != engine.incarnation || state.role != engine.role) {
        state = {};
        state.incarnation = engine.incarnation;
        state.role = engine.role;
    }
    return state;
}

double server_speed_model::load_ratio(const service_state& service, double running)
{
    const double determinant = service.count * service.running_squared - service.running * service.running;
    if (service.count < min_fit_events || determinant <= 0) {
        return 1;
    }
    const double slope = std::max(
        0.0, (service.count * service.products - service.running * service.milliseconds) / determinant);
    const double base = (service.milliseconds - slope * service.running) / service.count;
    return base > 0 ? 1 + slope / base * running : 1;
}

void server_speed_model::add(engine_state& state,
                             const std::string& service,
                             const event_times& times,
                             time_point at)
{
    const auto now = this->time.now();
    std::erase_if(state.spans, [&](const auto& span) { return now - span.begin > max_span_age; });
    const auto later = std::ranges::find_if(state.spans, [&](const auto& span) { return span.begin > at; });
    auto target = later;
    if (later == state.spans.begin() || at - std::prev(later)->begin >= span_length) {
        target = state.spans.insert(later, measured_span{at});
    } else {
        target = std::prev(later);
    }
    target->events += times.events;
    target->milliseconds += times.total.count();
    target->running += static_cast<double>(times.running) * times.events;

    auto& fitted = this->services[service];
    const double event_milliseconds = times.total.count() / times.events;
    const double running = times.running;
    fitted.count = fitted.count * fit_decay + 1;
    fitted.running = fitted.running * fit_decay + running;
    fitted.milliseconds = fitted.milliseconds * fit_decay + event_milliseconds;
    fitted.running_squared = fitted.running_squared * fit_decay + running * running;
    fitted.products = fitted.products * fit_decay + running * event_milliseconds;
}

void server_speed_model::record(const backend_server& engine, const event_times& times)
{
    if (times.events == 0 || times.total <= milliseconds{0}) {
        return;
    }
    auto& state = this->state_of(engine);
    const auto& service = this->services[engine.service];
    const double usual = this->cached_milliseconds(state, service) * load_ratio(service, times.running);
    if (usual > 0) {
        this->record_noise(engine.service, times.total.count() / times.events / usual);
    }
    state.unreported.events += times.events;
    state.unreported.total += times.total;
    state.unreported_running += static_cast<double>(times.running) * times.events;
    this->add(state, engine.service, times, this->time.now());
}

void server_speed_model::record_reported(const backend_server& engine, const event_times& times, duration age)
{
    if (times.events == 0 || times.total <= milliseconds{0} || age > max_span_age) {
        return;
    }
    this->add(this->state_of(engine), engine.service, times, this->time.now() - age);
}

void server_speed_model::record_gap_objective(const std::string& service,
                                              std::chrono::milliseconds gap_objective)
{
    auto& state = this->services[service];
    const auto now = this->time.now();
    if (state.gap_objective.count() == 0 || gap_objective <= state.gap_objective ||
        now - state.gap_objective_at > max_gap_objective_age) {
        state.gap_objective = gap_objective;
        state.gap_objective_at = now;
    }
}

void server_speed_model::record_noise(const std::string& service, double ratio)
{
    // Slow events are fewer in the same time, so each one counts by its length.
    auto& state = this->services[service];
    auto& counts = state.ratio_counts;
    const auto now = this->time.now();
    const auto since_decay = now - state.ratios_decayed_at;
    if (since_decay >= ratio_decay_interval) {
        const double factor = std::exp2(-std::chrono::duration<double>(since_decay) / ratio_half_life);
        std::ranges::for_each(counts, [&](double& count) { count *= factor; });
        state.ratios_decayed_at = now;
    }
    const double bin = std::ceil(std::log2(std::max(1.0, ratio)) * ratio_bins_per_octave);
    counts.at(std::min(static_cast<std::size_t>(bin), counts.size() - 1)) += ratio;
}

double server_speed_model::noise_factor(const std::string& service) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return 1;
    }
    const auto& counts = found->second.ratio_counts;
    const double total = std::accumulate(counts.begin(), counts.end(), 0.0);
    if (total < min_ratio_weight) {
        return 1;
    }
    double slower = 0;
    auto bin = counts.size() - 1;
    while (bin > 0 && slower + counts.at(bin) <= total * max_slower_time_ratio) {
        slower += counts.at(bin);
        --bin;
    }
    return std::exp2(static_cast<double>(bin) / ratio_bins_per_octave);
}

// Returns the event time of an engine without load, or 0 if it is unknown.
double server_speed_model::usual_milliseconds(const engine_state& state, const service_state& service) const
{
    const auto now = this->time.now();
    std::vector<double> times;
    std::optional<time_point> change_begin;
    std::optional<time_point> change_end;
    double fastest = 0;
    double slowest = 0;
    for (const auto& span : state.spans) {
        if (now - span.begin > max_span_age) {
            continue;
        }
        const double time_without_load =
            span.event_milliseconds() / load_ratio(service, span.running / span.events);
        times.push_back(time_without_load);
        if (now - span.begin > change_time) {
            continue;
        }
        fastest = change_begin ? std::min(fastest, time_without_load) : time_without_load;
        slowest = change_begin ? std::max(slowest, time_without_load) : time_without_load;
        change_begin = change_begin.value_or(span.begin);
        change_end = span.begin;
    }
    if (times.size() < min_spans) {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::ranges::nth_element(times, middle);
    if (!change_begin || *change_end - *change_begin < min_change_span) {
        return *middle;
    }
    return std::clamp(*middle, fastest, slowest);
}

double server_speed_model::cached_milliseconds(const engine_state& state, const service_state& service) const
{
    const auto now = this->time.now();
    if (!state.cached.computed_at || now - *state.cached.computed_at >= speed_refresh_interval) {
        state.cached = {this->usual_milliseconds(state, service), now};
    }
    return state.cached.milliseconds;
}

double server_speed_model::event_milliseconds(const backend_server& engine, std::uint32_t running) const
{
    const auto state = this->engines.find(engine.id);
    const auto service = this->services.find(engine.service);
    if (state == this->engines.end() || service == this->services.end() ||
        state->second.incarnation != engine.incarnation || state->second.role != engine.role) {
        return 0;
    }
    return this->cached_milliseconds(state->second, service->second) * load_ratio(service->second, running);
}

std::vector<decode_speed>
server_speed_model::rate(const std::vector<std::pair<listed_server, std::uint32_t>>& engines) const
{
    std::vector<decode_speed> rated(engines.size(), decode_speed::suitable);
    const auto service =
        engines.empty() ? this->services.end() : this->services.find(engines.front().first->service);
    if (service == this->services.end() || service->second.gap_objective.count() == 0) {
        return rated;
    }
    double fastest = 0;
    double slowest = 0;
    std::vector<double> known(engines.size());
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const auto& [server, running] = engines[index];
        known[index] = this->event_milliseconds(*server, running + 1);
        if (known[index] > 0) {
            const double without_load = known[index] / load_ratio(service->second, running + 1);
            fastest = fastest > 0 ? std::min(fastest, without_load) : without_load;
            slowest = std::max(slowest, without_load);
        }
    }
    if (slowest < fastest * min_speed_ratio || slowest == 0) {
        return rated;
    }
    const double noise = this->noise_factor(service->first);
    const auto objective = static_cast<double>(service->second.gap_objective.count());
    // If even the fastest engines cannot keep the objective, they come nearest to it.
    const double max_milliseconds =
        std::max(objective * max_event_gap_ratio / noise, fastest * min_speed_ratio);
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (known[index] == 0) {
            rated[index] = decode_speed::unknown;
        } else if (known[index] > max_milliseconds) {
            rated[index] = decode_speed::too_slow;
        } else if (known[index] / load_ratio(service->second, engines[index].second + 1) >
                   fastest * min_speed_ratio) {
            rated[index] = decode_speed::slower;
        }
    }
    return rated;
}

std::vector<std::pair<std::string, event_times>> server_speed_model::take_unreported(std::size_t max_count)
{
    std::vector<std::pair<std::string, event_times>> taken;
    for (auto& [id, state] : this->engines) {
        if (state.unreported.events > 0) {
            state.unreported.running =
                static_cast<std::uint32_t>(state.unreported_running / state.unreported.events);
            taken.emplace_back(id, state.unreported);
            state.unreported = {};
            state.unreported_running = 0;
        }
    }
    std::ranges::stable_sort(taken, std::greater<>{}, [](const auto& entry) { return entry.second.events; });
    taken.resize(std::min(taken.size(), max_count));
    return taken;
}

void server_speed_model::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->engines, [&](const auto& entry) { return !listed.contains(entry.first); });
}

} // namespace tanager
