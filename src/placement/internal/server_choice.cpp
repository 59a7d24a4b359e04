#include "placement/server_choice.h"

#include "base/digest.h"

#include <algorithm>
#include <limits>

namespace tanager {

namespace {

// Shared parts below this are read again faster than a place at their home is worth waiting for.
constexpr std::uint32_t shortest_homed_part = 512;
// Requests queued at a plain server for each of its slots: as many again start within one service time.
constexpr std::uint32_t queued_per_slot = 1;

std::uint32_t running(const placement_candidate& candidate)
{
    return candidate.running_here + candidate.running_elsewhere;
}

bool may_be_used(const placement_candidate& candidate)
{
    // A server on trial gets one request at a time, so that it costs one if it is still down.
    return !candidate.was_tried && !candidate.is_aside &&
           (!candidate.is_on_trial || candidate.running_here == 0);
}

// Returns the usable candidates, or, where all are aside or on trial, those that were not tried.
std::vector<std::size_t> usable_indexes(const std::vector<placement_candidate>& candidates)
{
    std::vector<std::size_t> usable;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (may_be_used(candidates[index])) {
            usable.push_back(index);
        }
    }
    if (!usable.empty()) {
        return usable;
    }
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!candidates[index].was_tried) {
            usable.push_back(index);
        }
    }
    return usable;
}

double use_of(const placement_candidate& candidate)
{
    return static_cast<double>(running(candidate)) / std::max(1U, candidate.server->slots);
}

std::size_t least_used(const std::vector<placement_candidate>& candidates,
                       const std::vector<std::size_t>& indexes,
                       random_source& random)
{
    double lowest = std::numeric_limits<double>::max();
    std::size_t chosen = indexes.front();
    std::uint64_t equals = 0;
    for (const auto index : indexes) {
        const double use = use_of(candidates[index]);
        if (use < lowest) {
            lowest = use;
            chosen = index;
            equals = 1;
        } else if (use == lowest && random.next() % ++equals == 0) {
            chosen = index;
        }
    }
    return chosen;
}

} // namespace

placement_result choose_plain_server(const std::vector<placement_candidate>& candidates,
                                     random_source& random)
{
    auto usable = usable_indexes(candidates);
    if (usable.empty()) {
        return tl::make_unexpected(placement_miss::no_server);
    }
    std::erase_if(usable, [&](std::size_t index) {
        return running(candidates[index]) >= candidates[index].server->slots * (1 + queued_per_slot);
    });
    if (usable.empty()) {
        return tl::make_unexpected(placement_miss::no_place);
    }
    return least_used(candidates, usable, random);
}

placement_result choose_engine(const prompt_shape& prompt,
                               const std::vector<placement_candidate>& candidates,
                               random_source& random)
{
    auto usable = usable_indexes(candidates);
    std::erase_if(usable,
                  [&](std::size_t index) { return candidates[index].server->role == engine_role::prefill; });
    if (usable.empty()) {
        return tl::make_unexpected(placement_miss::no_server);
    }
    std::erase_if(usable, [&](std::size_t index) {
        return running(candidates[index]) >= candidates[index].server->slots;
    });
    if (usable.empty()) {
        return tl::make_unexpected(placement_miss::no_place);
    }
    if (prompt.shared_tokens < shortest_homed_part) {
        return least_used(candidates, usable, random);
    }
    return *std::ranges::max_element(usable, {}, [&](std::size_t index) {
        return hash64(candidates[index].server->id, prompt.shared_key);
    });
}

} // namespace tanager
