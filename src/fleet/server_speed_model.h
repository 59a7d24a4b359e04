// Learns how fast each engine decodes, from the times between the events of its streams.
#pragma once

#include "base/clock.h"
#include "fleet/types/backend_server.h"
#include "fleet/types/server_speed.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanager {

// Load pattern: engines of one service decode at unequal speeds, some of them less than half as fast as
// others. Short spans of noise stretch the events of any engine, and healthy engines turn slow for seconds.
// An output of a hundred events misses its gap objective by a single late one, so it has to run where even a
// stretched event is in time.
//
// An engine's event time is the median over short spans of the last seconds, so that neither single events
// nor noise change it. When the fastest span of the last second is slower than that, or the slowest one
// faster, the engine's speed has changed and that span counts. Event times are compared at equal numbers of
// running requests, with a line that is fitted over all engines of the service. Measurements that peers
// report count like own ones. An engine is unknown at first, after a restart or a change of its role, and
// when nothing was measured for some seconds.
class server_speed_model {
public:
    using listed_server = std::shared_ptr<const backend_server>;

    explicit server_speed_model(const clock& time);

    // Records events that this gateway has received from an engine.
    void record(const backend_server& engine, const event_times& times);

    // Records events that a peer has received from an engine, on average `age` ago.
    void record_reported(const backend_server& engine, const event_times& times, duration age);

    // Records the gap objective of a route with long outputs.
    void record_gap_objective(const std::string& service, std::chrono::milliseconds gap_objective);

    // Returns the time of an event on an engine that runs `running` requests; 0 if it is unknown.
    double event_milliseconds(const backend_server& engine, std::uint32_t running) const;

    // Returns the factor by which noise stretches the events of a service's engines in its slowest spans.
    double noise_factor(const std::string& service) const;

    // Rates engines of one service, each with the requests that it runs. All are suitable while no route with
    // long outputs has a gap objective, or while the known speeds hardly differ. The fastest ones are
    // suitable even if they cannot keep the objective.
    std::vector<decode_speed> rate(const std::vector<std::pair<listed_server, std::uint32_t>>& engines) const;

    // Returns what was recorded here since the last call, at most `max_count` entries, those with the most
    // events first; the others are dropped.
    std::vector<std::pair<std::string, event_times>> take_unreported(std::size_t max_count);

    // Drops the measurements of servers that are no longer listed.
    void keep_only(const std::set<std::string>& listed);

private:
    struct measured_span {
        time_point begin;
        double events = 0;
        double milliseconds = 0;
        double running = 0; // sum over the events

        double event_milliseconds() const;
    };

    // An engine's event time without load.
    struct cached_speed {
        double milliseconds = 0;
        std::optional<time_point> computed_at;
    };

    struct engine_state {
        std::int64_t incarnation = 0;
        engine_role role = engine_role::none;
        std::deque<measured_span> spans; // by their beginning
        event_times unreported;
        mutable cached_speed cached;
        double unreported_running = 0;
    };

    // Decaying sums for a least-squares fit of event times over running requests, and the distribution of the
    // ratio of an event time to its engine's usual one.
    struct service_state {
        double count = 0;
        double running = 0;
        double milliseconds = 0;
        double running_squared = 0;
        double products = 0; // of running and milliseconds
        static constexpr std::size_t ratio_bins = 48;
        std::array<double, ratio_bins> ratio_counts{};
        time_point ratios_decayed_at;
        std::chrono::milliseconds gap_objective{0};
        time_point gap_objective_at;
    };

    engine_state& state_of(const backend_server& engine);
    void add(engine_state& state, const std::string& service, const event_times& times, time_point at);
    void record_noise(const std::string& service, double ratio);
    double usual_milliseconds(const engine_state& state, const service_state& service) const;
    double cached_milliseconds(const engine_state& state, const service_state& service) const;
    static double load_ratio(const service_state& service, double running);

    const clock& time;
    std::map<std::string, engine_state> engines;   // by id
    std::map<std::string, service_state> services; // by name
};

} // namespace tanager
