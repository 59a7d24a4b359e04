#include "agent_selection/agent_choice.h"

#include "base/digest.h"

#include <algorithm>

namespace tanager {

namespace {

// A cached prefix outweighs this many more requests in the queue.
constexpr double affinity_bonus_requests = 1.5;
// A hop to another data centre weighs as much as this many requests in the queue.
constexpr double remote_penalty_requests = 0.25;

bool has_capacity(const agent_candidate& candidate, const agent_selection_request& request)
{
    return candidate.free_pieces >= request.pieces && candidate.free_member_pieces >= request.pieces;
}

// Returns the expected wait, in requests: the queue length, plus a fraction that falls as more capacity of
// the backend server is free. The request starts sooner at an agent with a lower value.
double expected_wait(const agent_candidate& candidate)
{
    const double busy_fraction = 1.0 / (1.0 + candidate.free_pieces);
    return candidate.queued_requests + busy_fraction +
           (candidate.is_same_data_centre ? 0.0 : remote_penalty_requests);
}

// Rendezvous hashing: the two agents with the highest scores for a prefix.
struct preferred_agents {
    void consider(const agent_candidate& candidate, std::uint64_t prefix_hash)
    {
        const std::uint64_t score = hash64(candidate.host, prefix_hash);
        if (this->first == nullptr || score > this->first_score) {
            this->second = this->first;
            this->second_score = this->first_score;
            this->first = &candidate;
            this->first_score = score;
        } else if (this->second == nullptr || score > this->second_score) {
            this->second = &candidate;
            this->second_score = score;
        }
    }

    const agent_candidate* first = nullptr;
    const agent_candidate* second = nullptr;
    std::uint64_t first_score = 0;
    std::uint64_t second_score = 0;
};

const agent_candidate& choose_available(const std::vector<const agent_candidate*>& available,
                                        std::uint64_t prefix_hash,
                                        random_source& random)
{
    preferred_agents preferred;
    if (prefix_hash != 0) {
        for (const auto* const candidate : available) {
            preferred.consider(*candidate, prefix_hash);
        }
    }
    const auto* const first_random = available.at(random.next() % available.size());
    const auto* const second_random = available.at(random.next() % available.size());
    const auto* best =
        expected_wait(*second_random) < expected_wait(*first_random) ? second_random : first_random;
    double best_wait = expected_wait(*best);
    for (const auto* const preferred_agent : {preferred.second, preferred.first}) {
        if (preferred_agent == nullptr) {
            continue;
        }
        const double wait = expected_wait(*preferred_agent) - affinity_bonus_requests;
        if (wait <= best_wait) {
            best = preferred_agent;
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
    std::vector<const agent_candidate*> available;
    const agent_candidate* shortest_queue = nullptr;
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
        if (has_capacity(candidate, request)) {
            available.push_back(&candidate);
        }
        if (shortest_queue == nullptr || expected_wait(candidate) < expected_wait(*shortest_queue)) {
            shortest_queue = &candidate;
        }
    }
    if (!available.empty()) {
        return choose_available(available, request.prefix_hash, random).host;
    }
    if (shortest_queue != nullptr) {
        return shortest_queue->host;
    }
    const bool is_share_too_small = any_takes_work && tried.empty();
    if (is_share_too_small) {
        return fail(result_code::request_too_large_for_pool,
                    "no share holds " + std::to_string(request.pieces) + " pieces");
    }
    return fail(result_code::no_agent_available, "no agent of the pool takes work");
}

} // namespace tanager
