#include "fleet/reading_rate.h"

#include <algorithm>

namespace tanager {

namespace {

// Prompts up to this length show the fixed part, longer ones the speed.
constexpr std::uint64_t short_prompt = 600;
// What each new sample takes off the weight of the older ones: about the last 25 samples count.
constexpr double fading = 0.96;
constexpr double fixed_weight = 0.05;
// Assumed before anything is known: 250 tokens a millisecond, between the engines in use; worth a few
// samples.
constexpr double prior_tokens = 20'000;
constexpr double prior_milliseconds = 80;

double to_milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace

void reading_rate::record(const backend_server& server, std::uint64_t tokens, duration elapsed)
{
    auto& group = this->groups[{server.service, server.role}];
    const double taken = to_milliseconds(elapsed);
    if (tokens <= short_prompt) {
        group.fixed_milliseconds += fixed_weight * (taken - group.fixed_milliseconds);
        return;
    }
    const double reading = std::max(taken - group.fixed_milliseconds, 0.1 * taken);
    for (rate_sums* const sums : {&group.sums, &this->servers[server.id]}) {
        sums->tokens = sums->tokens * fading + static_cast<double>(tokens);
        sums->milliseconds = sums->milliseconds * fading + reading;
    }
}

double reading_rate::token_milliseconds(const backend_server& server) const
{
    double tokens = prior_tokens;
    double milliseconds = prior_milliseconds;
    const auto group = this->groups.find({server.service, server.role});
    if (group != this->groups.end() && group->second.sums.tokens > 0) {
        const auto& sums = group->second.sums;
        milliseconds = (milliseconds + sums.milliseconds) / (tokens + sums.tokens) * prior_tokens;
    }
    const auto own = this->servers.find(server.id);
    if (own != this->servers.end()) {
        tokens += own->second.tokens;
        milliseconds += own->second.milliseconds;
    }
    return milliseconds / tokens;
}

double reading_rate::fixed_milliseconds(const backend_server& server) const
{
    const auto group = this->groups.find({server.service, server.role});
    return group == this->groups.end() ? 0 : group->second.fixed_milliseconds;
}

void reading_rate::forget(const std::string& server_id)
{
    this->servers.erase(server_id);
}

} // namespace tanager
