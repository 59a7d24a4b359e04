#include "admission/organisation_shares.h"

#include <algorithm>
#include <cmath>

namespace tanager {

namespace {

// Usual use covers several bursts, which last for some seconds.
constexpr std::chrono::seconds usual_time_constant{20};
// Callers come back within this time, so whoever was passed over then goes first.
constexpr std::chrono::seconds recent_time_constant{2};
// No organisation is served less than a quarter as often as all.
constexpr double min_entitled_share_of_arrivals = 0.25;
// The entitlement of an organisation that is hardly known.
constexpr double min_entitled_per_second = 0.1;
// Twice the largest number of organisations on a deployment. Beyond it, the one that was idle longest is
// forgotten.
constexpr std::size_t max_organisations = 1'000;

double seconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

organisation_shares::organisation_shares(const clock& time) : time(time) {}

double organisation_shares::fading_count::at(time_point now, duration time_constant) const
{
    return this->value * std::exp(-seconds(now - this->updated_at) / seconds(time_constant));
}

void organisation_shares::fading_count::add(time_point now, duration time_constant)
{
    this->value = this->at(now, time_constant) + 1;
    this->updated_at = now;
}

organisation_shares::use& organisation_shares::use_of(const std::string& organisation)
{
    const auto now = this->time.now();
    const auto found = this->uses.find(organisation);
    if (found != this->uses.end()) {
        found->second.last_seen = now;
        return found->second;
    }
    if (this->uses.size() >= max_organisations) {
        this->uses.erase(std::ranges::min_element(
            this->uses, {}, [](const auto& entry) { return entry.second.last_seen; }));
    }
    use& added = this->uses[organisation];
    added.first_seen = now;
    added.last_seen = now;
    return added;
}

void organisation_shares::record_arrival(const std::string& organisation)
{
    auto& known = this->use_of(organisation);
    known.usual_arrivals.add(this->time.now(), usual_time_constant);
    known.recent_arrivals.add(this->time.now(), recent_time_constant);
}

void organisation_shares::record_start(const std::string& organisation)
{
    this->use_of(organisation).recent_starts.add(this->time.now(), recent_time_constant);
}

double organisation_shares::entitled_per_second(const use& known) const
{
    const auto now = this->time.now();
    // Before the time constant has passed, a fading count covers only the time since the first arrival.
    const double known_for = std::max(seconds(now - known.first_seen), seconds(recent_time_constant)) /
                             seconds(usual_time_constant);
    const double covered_seconds = seconds(usual_time_constant) * (1 - std::exp(-known_for));
    const double usual = known.usual_arrivals.at(now, usual_time_constant) / covered_seconds;
    const double recent = known.recent_arrivals.at(now, recent_time_constant) / seconds(recent_time_constant);
    return std::max({usual, recent * min_entitled_share_of_arrivals, min_entitled_per_second});
}

double organisation_shares::rank(const std::string& organisation, std::size_t queued_before) const
{
    const auto found = this->uses.find(organisation);
    if (found == this->uses.end()) {
        return static_cast<double>(queued_before) / min_entitled_per_second;
    }
    const double started = found->second.recent_starts.at(this->time.now(), recent_time_constant);
    return (started + static_cast<double>(queued_before)) / this->entitled_per_second(found->second);
}

std::size_t organisation_shares::size() const
{
    return this->uses.size();
}

} // namespace tanager
