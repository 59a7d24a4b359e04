#include "roles/demand_meter.h"

#include <algorithm>

namespace tanager {

namespace {

// Weight of the newest request in the moving averages, which cover about the last hundred.
constexpr double newest_weight = 0.01;
// Fewer decodes are too few to base a change of an engine's role on.
constexpr std::uint32_t min_decode_samples = 4;
// Decay of the peak of long outputs with each further record; two are made a second.
constexpr double peak_decay_factor = 0.97;

// The first samples are weighted equally, so that no single one dominates the average for long.
double weight_of(std::uint32_t samples)
{
    return std::max(newest_weight, 1.0 / samples);
}

} // namespace

demand_meter::demand_meter(const clock& time) : time(time) {}

demand_meter::service_row& demand_meter::row_of(const std::string& service)
{
    return this->services.try_emplace(service, this->time).first->second;
}

void demand_meter::record_prompt(const std::string& service,
                                 const prompt_size& prompt,
                                 std::chrono::milliseconds gap_objective)
{
    auto& row = this->row_of(service);
    ++row.prompts;
    const double weight = weight_of(row.prompts);
    const double suffix_tokens = prompt.suffix_tokens;
    row.suffix_tokens += weight * (suffix_tokens - row.suffix_tokens);
    row.prompt_tokens += weight * (suffix_tokens + prompt.prefix_tokens - row.prompt_tokens);
    row.gap_objective_milliseconds +=
        weight * (static_cast<double>(gap_objective.count()) - row.gap_objective_milliseconds);
    row.arrivals.record();
}

void demand_meter::record_decode(const std::string& service, duration slot_time)
{
    auto& row = this->row_of(service);
    ++row.decodes;
    const double milliseconds = std::chrono::duration<double, std::milli>(slot_time).count();
    row.slot_milliseconds += weight_of(row.decodes) * (milliseconds - row.slot_milliseconds);
}

void demand_meter::record_long_outputs(const std::string& service, std::uint32_t running)
{
    auto& row = this->row_of(service);
    row.peak_long_outputs = std::max(row.peak_long_outputs * peak_decay_factor, static_cast<double>(running));
}

std::uint32_t demand_meter::prompts_last_second(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.arrivals.last_second();
}

std::map<std::string, std::uint32_t> demand_meter::prompts_last_second() const
{
    std::map<std::string, std::uint32_t> prompts;
    for (const auto& [service, row] : this->services) {
        if (const auto count = row.arrivals.last_second(); count > 0) {
            prompts.emplace(service, count);
        }
    }
    return prompts;
}

role_demand demand_meter::measure(const std::string& service,
                                  std::uint32_t peer_prompts,
                                  double prefill_milliseconds_per_token,
                                  double prefill_speed_up) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || found->second.decodes < min_decode_samples) {
        return {};
    }
    const auto& row = found->second;
    return {row.suffix_tokens * prefill_milliseconds_per_token,
            row.slot_milliseconds,
            static_cast<double>(row.arrivals.last_second()) + peer_prompts,
            row.peak_long_outputs,
            row.prompt_tokens * prefill_milliseconds_per_token * prefill_speed_up,
            row.gap_objective_milliseconds};
}

} // namespace tanager
