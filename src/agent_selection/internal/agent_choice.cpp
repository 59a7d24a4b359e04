#include "agent_selection/agent_choice.h"

#include "base/digest.h"

#include <algorithm>

namespace tanager {

namespace {

// Requests ahead of ours that a cached prefix is worth.
constexpr double affinity_bonus = 1.5;
// Requests ahead of ours that a hop to another data centre costs.
constexpr double distance_penalty = 0.25;

bool has_room(const agent_candidate& candidate, const agent_selection_request& request)
{
    return candidate.free_pieces >= request.pieces && candidate.free_member_pieces >= request.pieces;
}

// Lower starts sooner: requests queued, plus the part of the backend server that is busy.
double expected_wait(const agent_candidate& candidate)
{
    const double busy = 1.0 / (1.0 + candidate.free_pieces);
    return candidate.queued_requests + busy + (candidate.is_same_data_centre ? 0.0 : distance_penalty);
}

struct affinity_pair {
    void offer(const agent_candidate& candidate, std::uint64_t prefix_hash)
    {
        const std::uint64_t weight = hash64(candidate.host, prefix_hash);
        if (this->first == nullptr || weight > this->first_weight) {
            this->second = this->first;
            this->second_weight = this->first_weight;
            this->first = &candidate;
            this->first_weight = weight;
        } else if (this->second == nullptr || weight > this->second_weight) {
            this->second = &candidate;
            this->second_weight = weight;
        }
    }

    const agent_candidate* first = nullptr;
    const agent_candidate* second = nullptr;
    std::uint64_t first_weight = 0;
    std::uint64_t second_weight = 0;
};

const agent_candidate& choose_by_affinity(const std::vector<const agent_candidate*>& roomy,
                                          std::uint64_t prefix_hash,
                                          random_source& random)
{
    affinity_pair pair;
    if (prefix_hash != 0) {
        for (const auto* const candidate : roomy) {
            pair.offer(*candidate, prefix_hash);
        }
    }
    const auto* const any = roomy.at(random.next() % roomy.size());
    const auto* const other = roomy.at(random.next() % roomy.size());
    const auto* best = expected_wait(*other) < expected_wait(*any) ? other : any;
    double best_wait = expected_wait(*best);
    for (const auto* const preferred : {pair.second, pair.first}) {
        if (preferred == nullptr) {
            continue;
        }
        const double wait = expected_wait(*preferred) - affinity_bonus;
        if (wait <= best_wait) {
            best = preferred;
            best_wait = wait;
        }
    }
    return *best;
}

} // namespace

result<std::string> choose_agent(const agent_selection_request& request,
                                 const std::vector<agent_candidate>& candidates,
                                 const std::vector<std::string>& tried,
                                 random_source& random)
{
    std::vector<const agent_candidate*> roomy;
    const agent_candidate* shortest = nullptr;
    bool any_takes_work = false;
    for (const auto& candidate : candidates) {
        if (!candidate.takes_work) {
            continue;
        }
        any_takes_work = true;
        const bool was_tried = std::ranges::find(tried, candidate.host) != tried.end();
        if (was_tried || candidate.member_share < request.pieces) {
            continue;
        }
        if (has_room(candidate, request)) {
            roomy.push_back(&candidate);
        }
        if (shortest == nullptr || expected_wait(candidate) < expected_wait(*shortest)) {
            shortest = &candidate;
        }
    }
    if (!roomy.empty()) {
        return choose_by_affinity(roomy, request.prefix_hash, random).host;
    }
    if (shortest != nullptr) {
        return shortest->host;
    }
    const bool share_too_small = any_takes_work && tried.empty();
    if (share_too_small) {
        return fail(result_code::request_too_large_for_pool,
                    "no share holds " + std::to_string(request.pieces) + " pieces");
    }
    return fail(result_code::no_agent_available, "no agent of the pool takes work");
}

} // namespace tanager
