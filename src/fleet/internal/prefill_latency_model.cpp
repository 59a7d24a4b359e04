#include "fleet/prefill_latency_model.h"

#include <algorithm>

namespace tanager {

namespace {

// What each new sample takes off the weight of the older ones: about the last hundred samples count.
constexpr double fading = 0.99;
// Weight of the newest sample in an engine's own factor.
constexpr double factor_weight = 0.05;
constexpr double smallest_factor = 0.5;
constexpr double largest_factor = 8;
// Assumed before anything is known: 250 tokens a millisecond, between the engines in use.
constexpr double assumed_slope = 0.004;
// The assumption counts as a tenth of a short and of a long prompt, so that the fit is always defined.
constexpr double assumed_weight = 0.1;
constexpr double assumed_prompt = 5'000;
// The flattest line that is believed, as a share of the steepest.
constexpr double flattest_share = 0.1;
// Prompts below this say little of an engine's speed.
constexpr double telling_prompt = 1'000;

double to_milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

prefill_latency_model::fitted_line prefill_latency_model::fit(const line_sums& sums)
{
    const double count = sums.count + 2 * assumed_weight;
    const double tokens = sums.tokens + assumed_weight * assumed_prompt;
    const double milliseconds = sums.milliseconds + assumed_weight * assumed_prompt * assumed_slope;
    const double tokens_squared = sums.tokens_squared + assumed_weight * assumed_prompt * assumed_prompt;
    const double products = sums.products + assumed_weight * assumed_prompt * assumed_prompt * assumed_slope;
    const double slope =
        (count * products - tokens * milliseconds) / (count * tokens_squared - tokens * tokens);
    // A line through the origin is the steepest that the samples allow; a falling one is an accident.
    const double steepest = milliseconds / tokens;
    const double kept = std::clamp(slope, steepest * flattest_share, steepest);
    return {(milliseconds - kept * tokens) / count, kept};
}

prefill_latency_model::fitted_line prefill_latency_model::line_of(const backend_server& server) const
{
    const auto group = this->groups.find({server.service, server.role});
    return fit(group == this->groups.end() ? line_sums{} : group->second);
}

void prefill_latency_model::record(const backend_server& server, std::uint64_t tokens, duration elapsed)
{
    const double taken = to_milliseconds(elapsed);
    const auto prompt = static_cast<double>(tokens);
    auto& sums = this->groups[{server.service, server.role}];
    sums.count = sums.count * fading + 1;
    sums.tokens = sums.tokens * fading + prompt;
    sums.milliseconds = sums.milliseconds * fading + taken;
    sums.tokens_squared = sums.tokens_squared * fading + prompt * prompt;
    sums.products = sums.products * fading + prompt * taken;
    if (prompt < telling_prompt) {
        return;
    }
    const auto line = fit(sums);
    const double seen =
        std::clamp((taken - line.fixed) / (prompt * line.slope), smallest_factor, largest_factor);
    double& factor = this->factors.try_emplace(server.id, 1.0).first->second;
    factor += factor_weight * (seen - factor);
}

double prefill_latency_model::base_latency_milliseconds(const backend_server& server) const
{
    return this->line_of(server).fixed;
}

double prefill_latency_model::prefill_milliseconds_per_token(const backend_server& server) const
{
    const auto own = this->factors.find(server.id);
    const double factor = own == this->factors.end() ? 1.0 : own->second;
    return this->line_of(server).slope * factor;
}

void prefill_latency_model::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->factors, [&](const auto& row) { return !listed.contains(row.first); });
}

} // namespace tanager
