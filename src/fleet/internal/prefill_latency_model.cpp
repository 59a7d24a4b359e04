#include "fleet/prefill_latency_model.h"

#include <algorithm>

namespace tanager {

namespace {

// Factor on the weight of older samples with each new one: about the last hundred samples count.
constexpr double sample_decay = 0.99;
// Weight of the newest sample in an engine's own speed factor.
constexpr double newest_factor_weight = 0.05;
constexpr double min_speed_factor = 0.5;
constexpr double max_speed_factor = 8;
// Assumed before the first sample: 250 tokens per millisecond, between the speeds of the engines in use.
constexpr double assumed_milliseconds_per_token = 0.004;
// The assumed line counts as a tenth of a sample at 0 tokens and a tenth of one at `assumed_prompt_tokens`,
// so that the fit is always defined.
constexpr double assumed_sample_weight = 0.1;
constexpr double assumed_prompt_tokens = 5'000;
// Lower bound of the fitted slope, relative to its upper bound.
constexpr double min_slope_ratio = 0.1;
// The latency of shorter prompts is mostly base latency and shows little of an engine's prefill speed.
constexpr double min_factor_prompt_tokens = 1'000;

double to_milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

prefill_latency_model::fitted_line prefill_latency_model::fit(const regression_sums& sums)
{
    const double count = sums.count + 2 * assumed_sample_weight;
    const double tokens = sums.tokens + assumed_sample_weight * assumed_prompt_tokens;
    const double milliseconds =
        sums.milliseconds + assumed_sample_weight * assumed_prompt_tokens * assumed_milliseconds_per_token;
    const double tokens_squared =
        sums.tokens_squared + assumed_sample_weight * assumed_prompt_tokens * assumed_prompt_tokens;
    const double products = sums.products + assumed_sample_weight * assumed_prompt_tokens *
                                                assumed_prompt_tokens * assumed_milliseconds_per_token;
    const double slope =
        (count * products - tokens * milliseconds) / (count * tokens_squared - tokens * tokens);
    // The line through the origin has the steepest slope that leaves no negative base latency; a negative
    // slope can only come from noise.
    const double max_slope = milliseconds / tokens;
    const double bounded_slope = std::clamp(slope, max_slope * min_slope_ratio, max_slope);
    return {(milliseconds - bounded_slope * tokens) / count, bounded_slope};
}

prefill_latency_model::fitted_line prefill_latency_model::fit_group_of(const backend_server& server) const
{
    const auto group = this->groups.find({server.service, server.role});
    return fit(group == this->groups.end() ? regression_sums{} : group->second);
}

void prefill_latency_model::record(const backend_server& server, std::uint64_t tokens, duration elapsed)
{
    const double elapsed_milliseconds = to_milliseconds(elapsed);
    const auto prompt_tokens = static_cast<double>(tokens);
    auto& sums = this->groups[{server.service, server.role}];
    sums.count = sums.count * sample_decay + 1;
    sums.tokens = sums.tokens * sample_decay + prompt_tokens;
    sums.milliseconds = sums.milliseconds * sample_decay + elapsed_milliseconds;
    sums.tokens_squared = sums.tokens_squared * sample_decay + prompt_tokens * prompt_tokens;
    sums.products = sums.products * sample_decay + prompt_tokens * elapsed_milliseconds;
    if (prompt_tokens < min_factor_prompt_tokens) {
        return;
    }
    const auto line = fit(sums);
    const double measured_factor = std::clamp((elapsed_milliseconds - line.base_milliseconds) /
                                                  (prompt_tokens * line.milliseconds_per_token),
                                              min_speed_factor,
                                              max_speed_factor);
    double& factor = this->speed_factors.try_emplace(server.id, 1.0).first->second;
    factor += newest_factor_weight * (measured_factor - factor);
}

double prefill_latency_model::base_latency_milliseconds(const backend_server& server) const
{
    return this->fit_group_of(server).base_milliseconds;
}

double prefill_latency_model::prefill_milliseconds_per_token(const backend_server& server) const
{
    const auto own_factor = this->speed_factors.find(server.id);
    const double factor = own_factor == this->speed_factors.end() ? 1.0 : own_factor->second;
    return this->fit_group_of(server).milliseconds_per_token * factor;
}

void prefill_latency_model::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->speed_factors, [&](const auto& entry) { return !listed.contains(entry.first); });
}

} // namespace tanager
