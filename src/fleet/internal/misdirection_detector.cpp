#include "fleet/misdirection_detector.h"

#include <algorithm>
#include <utility>

namespace tanager {

namespace {

// A single 421 may be the copy of another response; a server whose address was reassigned sends one for each
// request.
constexpr unsigned min_consecutive_misdirected = 2;
// Each further suspension doubles it, up to 8 s. The store's entry changes within some seconds of the server;
// where it does not, each gateway spends one retry in 8 s on the address.
constexpr std::chrono::milliseconds first_suspension_time{500};
constexpr unsigned max_doublings = 4;
// A server that is suspended again within this time after its last suspension continues to double.
constexpr std::chrono::milliseconds relapse_time{8'000};

} // namespace

misdirection_detector::misdirection_detector(const clock& time) : time(time) {}

bool misdirection_detector::record_misdirected(const listed_server& server)
{
    const auto now = this->time.now();
    auto& state = this->states[server->id];
    if (state.entry != server) {
        state = {};
        state.entry = server;
    }
    ++state.consecutive;
    state.has_begun_request = false;
    state.is_probe_running = false;
    if (state.suspended_until > now) {
        return false; // sent before the suspension
    }
    if (!state.is_suspected && state.consecutive < min_consecutive_misdirected) {
        return false;
    }
    if (!state.is_suspected && now - state.suspended_until > relapse_time) {
        state.suspensions = 0;
    }
    state.suspended_until = now + first_suspension_time * (1U << std::min(state.suspensions, max_doublings));
    ++state.suspensions;
    return !std::exchange(state.is_suspected, true);
}

bool misdirection_detector::record_accepted(const std::string& id)
{
    const auto found = this->states.find(id);
    // Only requests that were sent before the last 421 have been accepted if none was placed after it.
    if (found == this->states.end() || !found->second.has_begun_request) {
        return false;
    }
    auto& state = found->second;
    if (state.suspensions == 0) {
        this->states.erase(found);
        return false;
    }
    state.consecutive = 0;
    state.is_probe_running = false;
    state.suspended_until = std::min(state.suspended_until, this->time.now());
    return std::exchange(state.is_suspected, false);
}

void misdirection_detector::begin_request(const std::string& id)
{
    const auto found = this->states.find(id);
    if (found != this->states.end()) {
        found->second.has_begun_request = true;
        found->second.is_probe_running = found->second.is_suspected;
    }
}

void misdirection_detector::end_request(const std::string& id)
{
    const auto found = this->states.find(id);
    if (found != this->states.end()) {
        found->second.is_probe_running = false;
    }
}

bool misdirection_detector::is_suspected(const listed_server& server) const
{
    const auto found = this->states.find(server->id);
    return found != this->states.end() && found->second.entry == server && found->second.is_suspected;
}

bool misdirection_detector::gets_no_request(const listed_server& server) const
{
    if (!this->is_suspected(server)) {
        return false;
    }
    const auto& state = this->states.at(server->id);
    return state.is_probe_running || state.suspended_until > this->time.now();
}

std::set<std::string> misdirection_detector::find_suspended(const std::vector<listed_server>& available) const
{
    std::set<std::string> suspended;
    if (this->states.empty()) {
        return suspended;
    }
    std::set<engine_role> usable_roles;
    for (const auto& server : available) {
        if (!this->gets_no_request(server)) {
            usable_roles.insert(server->role);
        }
    }
    for (const auto& server : available) {
        if (usable_roles.contains(server->role) && this->gets_no_request(server)) {
            suspended.insert(server->id);
        }
    }
    return suspended;
}

bool misdirection_detector::is_empty() const
{
    return this->states.empty();
}

std::vector<std::string> misdirection_detector::keep_only(const std::vector<listed_server>& listed)
{
    std::map<std::string, listed_server> listed_by_id;
    for (const auto& server : listed) {
        listed_by_id.emplace(server->id, server);
    }
    std::vector<std::string> changed;
    std::erase_if(this->states, [&](const auto& entry) {
        const auto& [id, state] = entry;
        const auto found = listed_by_id.find(id);
        if (found != listed_by_id.end() && found->second == state.entry) {
            return false;
        }
        if (found != listed_by_id.end() && state.is_suspected) {
            changed.push_back(id);
        }
        return true;
    });
    return changed;
}

} // namespace tanager
