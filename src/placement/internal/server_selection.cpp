#include "placement/server_selection.h"

#include "base/digest.h"
#include "placement/internal/engine_split.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

namespace tanager {

namespace {

// Shorter prompts are prefilled within a millisecond or two on any engine.
constexpr std::uint32_t min_affinity_prompt_tokens = 600;
// Prefilling on a decode engine slows the streams there; this factor on its expected time stands for that
// cost.
constexpr double prefill_interference_cost_factor = 1.5;
// An engine in this data centre is preferred up to this much more slot usage, as a share of its slots.
constexpr double max_same_data_centre_usage_excess = 0.25;
// Isolated engines also decode short or already prefilled prompts while their slot usage is below this share.
constexpr double max_isolated_usage_for_prompts = 0.75;
// Share of the time budget that a prompt may wait for the first engine in order before others are considered.
constexpr double max_wait_ratio_in_order = 0.25;
// Fetching the KV cache of a prefix from another engine takes at most this share of the time to compute it.
constexpr double prefix_fetch_cost_ratio = 0.1;
// Share of the time budget that a prompt which is too long for its objective anyway may wait.
constexpr double max_wait_ratio_before_oversized = 0.05;
// Share of the gap objective for which prefill may hold up the streams of a decode engine; the rest is for
// the decode steps in between.
constexpr double max_prefill_gap_ratio = 0.4;
// Such a prompt also waits until the send queue of this host's link takes at most this share of the budget.
constexpr double max_link_queue_ratio_before_oversized = 0.25;
// A prefill that takes more than this share of the gap objective runs on a decode engine only if no prefill
// engine can do it in time: prompts that follow each other there lengthen every gap of its streams.
constexpr double max_preferred_decode_prefill_gap_ratio = 0.2;
constexpr std::size_t sampled_engines = 3;
// A plain server queues at most one request per slot, so that each of them starts within one service time.
constexpr std::uint32_t max_queued_per_slot = 1;

std::uint32_t running(const placement_candidate& candidate)
{
    return candidate.local_running + candidate.peer_running;
}

bool is_usable(const placement_candidate& candidate)
{
    // A server under probe gets one request at a time, so that only one fails if the server is still down.
    return !candidate.was_tried && !candidate.is_excluded &&
           (!candidate.is_probing || candidate.local_running == 0);
}

// Returns the usable candidates. If there are none, returns all that were not tried yet, even if they are
// excluded or under probe.
std::vector<std::size_t> usable_indexes(const std::vector<placement_candidate>& candidates)
{
    std::vector<std::size_t> usable;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (is_usable(candidates[index])) {
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

double slot_usage_ratio(const placement_candidate& candidate)
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
        const double usage = slot_usage_ratio(candidates[index]);
        if (usage < lowest) {
            lowest = usage;
            chosen = index;
            equals = 1;
        } else if (usage == lowest && random.next() % ++equals == 0) {
            chosen = index;
        }
    }
    return chosen;
}

// Returns the least used of a few random candidates. All gateways see the same delayed counts of requests of
// their peers: if each chose the least used of all candidates, all would choose the same one.
std::size_t least_used_of_sample(const std::vector<placement_candidate>& candidates,
                                 std::vector<std::size_t> indexes,
                                 random_source& random)
{
    for (std::size_t sampled = 0; sampled < std::min(sampled_engines, indexes.size()); ++sampled) {
        std::swap(indexes[sampled], indexes[sampled + random.next() % (indexes.size() - sampled)]);
    }
    indexes.resize(std::min(sampled_engines, indexes.size()));
    return least_used(candidates, indexes, random);
}

std::vector<std::size_t> with_role(const std::vector<placement_candidate>& candidates,
                                   const std::vector<std::size_t>& indexes,
                                   engine_role role)
{
    std::vector<std::size_t> found;
    for (const auto index : indexes) {
        if (candidates[index].server->role == role) {
            found.push_back(index);
        }
    }
    return found;
}

// Returns the decode engines that have a free slot, split for long outputs.
tl::expected<engine_split, placement_error>
decoders_with_free_slots(const std::vector<placement_candidate>& candidates,
                         const std::vector<std::size_t>& usable)
{
    const auto decoders = with_role(candidates, usable, engine_role::decode);
    if (decoders.empty()) {
        return tl::make_unexpected(placement_error::no_available_server);
    }
    auto split = split_engines(candidates, decoders);
    const auto is_full = [&](std::size_t index) {
        return running(candidates[index]) >= candidates[index].server->slots;
    };
    std::erase_if(split.isolated, is_full);
    std::erase_if(split.others, is_full);
    if (split.isolated.empty() && split.others.empty()) {
        return tl::make_unexpected(placement_error::no_free_slot);
    }
    return split;
}

// Returns the decode engines for prompts that are short or prefilled on another engine: the isolated ones
// while their slot usage is low, since they prefill no long prompts and start decoding at once.
std::vector<std::size_t> decoders_for_prompts(const std::vector<placement_candidate>& candidates,
                                              const engine_split& engines)
{
    auto isolated = engines.isolated;
    std::erase_if(isolated, [&](std::size_t index) {
        return slot_usage_ratio(candidates[index]) >= max_isolated_usage_for_prompts;
    });
    if (!isolated.empty()) {
        return isolated;
    }
    return engines.others.empty() ? engines.isolated : engines.others;
}

double to_milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// The time available until a prompt has been prefilled.
struct prefill_budget {
    double milliseconds = 0;      // in total
    double send_milliseconds = 0; // part of it spent on this host's link before the engine starts
    bool is_link_queue_short = true;
};

prefill_budget make_budget(double milliseconds, const send_delay& prompt_send_delay)
{
    const double queued = to_milliseconds(prompt_send_delay.queued);
    return {milliseconds,
            queued + to_milliseconds(prompt_send_delay.own),
            queued <= milliseconds * max_link_queue_ratio_before_oversized};
}

// An engine that can prefill a prompt in time.
struct prefill_option {
    std::size_t index = 0;
    std::uint32_t tokens = 0;                 // to prefill, or the equivalent of fetching them
    double milliseconds = 0;                  // until the first token
    std::optional<std::size_t> prefix_source; // engine to fetch the prefix from
};

double expected_first_token_milliseconds(const placement_candidate& candidate, std::uint64_t tokens)
{
    return candidate.base_latency_milliseconds +
           static_cast<double>(tokens) * candidate.prefill_milliseconds_per_token;
}

// Returns whether the prefill of `tokens` more tokens would hold up the streams of a decode engine for too
// long.
bool delays_streams(const placement_candidate& candidate, std::uint64_t tokens, double gap_milliseconds)
{
    if (candidate.server->role != engine_role::decode || gap_milliseconds <= 0 || running(candidate) == 0) {
        return false;
    }
    const double prefill_milliseconds = static_cast<double>(candidate.pending_prefill_tokens + tokens) *
                                        candidate.prefill_milliseconds_per_token;
    return prefill_milliseconds > gap_milliseconds * max_prefill_gap_ratio;
}

// Returns an engine from which `target` can fetch the prefix, preferably in its data centre.
std::optional<std::size_t> find_prefix_source(const std::vector<placement_candidate>& candidates,
                                              std::size_t target)
{
    std::optional<std::size_t> source;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto& candidate = candidates[index];
        if (index == target || !candidate.has_prefix_cached || candidate.is_excluded ||
            candidate.is_probing) {
            continue;
        }
        const bool is_near = candidate.server->data_centre == candidates[target].server->data_centre;
        if (!source || is_near) {
            source = index;
        }
        if (is_near) {
            break;
        }
    }
    return source;
}

prefill_option make_option(const prompt_shape& prompt,
                           const prefill_budget& budget,
                           const std::vector<placement_candidate>& candidates,
                           std::size_t index)
{
    const auto& candidate = candidates[index];
    prefill_option option{index, prompt.suffix_tokens, 0, std::nullopt};
    if (!candidate.has_prefix_cached && prompt.prefix_tokens > 0) {
        option.prefix_source = find_prefix_source(candidates, index);
        const double cost_ratio = option.prefix_source ? prefix_fetch_cost_ratio : 1;
        option.tokens += static_cast<std::uint32_t>(prompt.prefix_tokens * cost_ratio);
    }
    option.milliseconds =
        budget.send_milliseconds +
        expected_first_token_milliseconds(candidate, candidate.pending_prefill_tokens + option.tokens);
    return option;
}

// Returns the engine that should prefill the prompt, of those that can do so in time: with the prefix in its
// cache if there is one, or else one that fetches or computes it. Of several, the first one in rendezvous
// order that has little to do, or else the one that finishes first: uses that are spread evenly let all
// copies of a prefix grow cold.
std::optional<prefill_option> choose_prefill(const prompt_shape& prompt,
                                             const prefill_budget& budget,
                                             double gap_milliseconds,
                                             const std::vector<placement_candidate>& candidates,
                                             std::vector<std::size_t> indexes)
{
    const auto rank = [&](std::size_t index) {
        return hash64(candidates[index].server->id, prompt.prefix_key);
    };
    std::ranges::sort(indexes, std::greater<>{}, rank);
    std::optional<prefill_option> chosen;
    bool is_wait_of_chosen_short = false;
    std::optional<prefill_option> oversized;
    const auto consider = [&](std::size_t index) {
        const auto& candidate = candidates[index];
        const auto option = make_option(prompt, budget, candidates, index);
        const double wait =
            static_cast<double>(candidate.pending_prefill_tokens) * candidate.prefill_milliseconds_per_token;
        if (delays_streams(candidate, option.tokens, gap_milliseconds)) {
            return;
        }
        if (expected_first_token_milliseconds(candidate, option.tokens) > budget.milliseconds) {
            const bool is_lightly_loaded =
                budget.is_link_queue_short && wait <= budget.milliseconds * max_wait_ratio_before_oversized;
            if (is_lightly_loaded && !oversized) {
                oversized = option;
            }
            return;
        }
        if (option.milliseconds > budget.milliseconds) {
            return;
        }
        if (!chosen || (!is_wait_of_chosen_short && option.milliseconds < chosen->milliseconds)) {
            chosen = option;
            is_wait_of_chosen_short = wait <= budget.milliseconds * max_wait_ratio_in_order;
        }
    };
    for (const auto index : indexes) {
        if (candidates[index].has_prefix_cached) {
            consider(index);
        }
    }
    if (chosen) {
        return chosen;
    }
    for (const auto index : indexes) {
        if (!candidates[index].has_prefix_cached) {
            consider(index);
        }
    }
    return chosen ? chosen : oversized;
}

// Returns the isolated engine with the most long outputs that can take one more, or else the least loaded
// other engine, of engines of equal speed.
std::size_t choose_of_equal_speed(const std::vector<placement_candidate>& candidates,
                                  const engine_split& engines,
                                  random_source& random)
{
    if (engines.isolated.empty()) {
        return least_used(candidates, engines.others, random);
    }
    auto accepting = engines.isolated;
    std::erase_if(accepting, [&](std::size_t index) {
        return candidates[index].is_slow || !takes_long_output(candidates[index]);
    });
    if (!accepting.empty()) {
        return *std::ranges::max_element(
            accepting, {}, [&](std::size_t index) { return candidates[index].long_outputs; });
    }
    const auto& fallback = engines.others.empty() ? engines.isolated : engines.others;
    return *std::ranges::min_element(fallback, {}, [&](std::size_t index) {
        const auto& candidate = candidates[index];
        return std::tuple{
            candidate.is_slow, candidate.long_outputs, candidate.pending_prefill_tokens, running(candidate)};
    });
}

// Chooses among the engines with free slots whose speed suits a long output best: an engine that is too slow
// makes it late, however little that engine is used.
std::size_t choose_for_long_output(const std::vector<placement_candidate>& candidates,
                                   const engine_split& engines,
                                   random_source& random)
{
    const auto of_speed = [&](decode_speed speed) {
        auto found = engines;
        const auto has_other_speed = [&](std::size_t index) {
            return candidates[index].speed != speed;
        };
        std::erase_if(found.isolated, has_other_speed);
        std::erase_if(found.others, has_other_speed);
        return found;
    };
    const auto takes_one = [&](std::size_t index) {
        return takes_long_output(candidates[index]);
    };
    for (const auto speed : {decode_speed::suitable, decode_speed::slower}) {
        const auto found = of_speed(speed);
        if (std::ranges::any_of(found.isolated, takes_one) || std::ranges::any_of(found.others, takes_one)) {
            return choose_of_equal_speed(candidates, found, random);
        }
    }
    for (const auto speed : {decode_speed::suitable, decode_speed::slower, decode_speed::unknown}) {
        const auto found = of_speed(speed);
        if (!found.isolated.empty() || !found.others.empty()) {
            return choose_of_equal_speed(candidates, found, random);
        }
    }
    return choose_of_equal_speed(candidates, engines, random);
}

// Returns the least used engine in this data centre unless it is much fuller than others. The decode engine
// of a prompt that was prefilled on another engine needs no prefix affinity, and traffic between data centres
// costs.
std::size_t least_used_preferring_data_centre(const std::vector<placement_candidate>& candidates,
                                              const std::vector<std::size_t>& decoders,
                                              random_source& random)
{
    std::vector<std::size_t> nearby;
    for (const auto index : decoders) {
        if (candidates[index].is_same_data_centre) {
            nearby.push_back(index);
        }
    }
    const auto least_used_any = least_used_of_sample(candidates, decoders, random);
    if (nearby.empty()) {
        return least_used_any;
    }
    const auto least_used_nearby = least_used_of_sample(candidates, nearby, random);
    return slot_usage_ratio(candidates[least_used_nearby]) <=
                   slot_usage_ratio(candidates[least_used_any]) + max_same_data_centre_usage_excess
               ? least_used_nearby
               : least_used_any;
}

} // namespace

placement_result choose_plain_server(const std::vector<placement_candidate>& candidates,
                                     random_source& random)
{
    auto usable = usable_indexes(candidates);
    if (usable.empty()) {
        return tl::make_unexpected(placement_error::no_available_server);
    }
    std::erase_if(usable, [&](std::size_t index) {
        return running(candidates[index]) >= candidates[index].server->slots * (1 + max_queued_per_slot);
    });
    if (usable.empty()) {
        return tl::make_unexpected(placement_error::no_free_slot);
    }
    return placement{least_used(candidates, usable, random), std::nullopt, 0, std::nullopt};
}

placement_result choose_decode_engine(const std::vector<placement_candidate>& candidates,
                                      random_source& random)
{
    const auto decoders = decoders_with_free_slots(candidates, usable_indexes(candidates));
    if (!decoders) {
        return tl::make_unexpected(decoders.error());
    }
    return placement{
        least_used_preferring_data_centre(candidates, decoders_for_prompts(candidates, *decoders), random),
        std::nullopt,
        0,
        std::nullopt};
}

placement_result choose_engines(const prompt_shape& prompt,
                                const prompt_objectives& objectives,
                                const std::vector<placement_candidate>& candidates,
                                random_source& random,
                                const send_delay& prompt_send_delay)
{
    const auto usable = usable_indexes(candidates);
    const auto found = decoders_with_free_slots(candidates, usable);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    if (prompt.has_long_output()) {
        return placement{choose_for_long_output(candidates, *found, random),
                         std::nullopt,
                         prompt.suffix_tokens,
                         std::nullopt};
    }
    const auto decoders = decoders_for_prompts(candidates, *found);
    if (prompt.prefix_tokens + prompt.suffix_tokens < min_affinity_prompt_tokens) {
        return placement{
            least_used(candidates, decoders, random), std::nullopt, prompt.suffix_tokens, std::nullopt};
    }
    const auto decode_engine = least_used_preferring_data_centre(candidates, decoders, random);
    const auto budget_milliseconds = static_cast<double>(objectives.time_left.count());
    const auto gap_milliseconds = static_cast<double>(objectives.gap_objective.count());
    // After prefill on a separate engine, the prompt is sent again and the decode engine produces the first
    // event.
    const double after_prefill_milliseconds =
        to_milliseconds(prompt_send_delay.total()) + candidates[decode_engine].base_latency_milliseconds;
    const auto on_prefill_engine =
        choose_prefill(prompt,
                       make_budget(budget_milliseconds - after_prefill_milliseconds, prompt_send_delay),
                       gap_milliseconds,
                       candidates,
                       with_role(candidates, usable, engine_role::prefill));
    const auto on_decode_engine = choose_prefill(prompt,
                                                 make_budget(budget_milliseconds, prompt_send_delay),
                                                 gap_milliseconds,
                                                 candidates,
                                                 found->others);
    // A separate prefill engine is preferred unless it takes much longer, because of prefill interference.
    const bool is_prefill_engine_required =
        on_decode_engine && gap_milliseconds > 0 &&
        on_decode_engine->tokens * candidates[on_decode_engine->index].prefill_milliseconds_per_token >
            gap_milliseconds * max_preferred_decode_prefill_gap_ratio;
    if (on_prefill_engine && (!on_decode_engine || is_prefill_engine_required ||
                              on_prefill_engine->milliseconds + after_prefill_milliseconds <=
                                  on_decode_engine->milliseconds * prefill_interference_cost_factor)) {
        return placement{decode_engine,
                         on_prefill_engine->index,
                         on_prefill_engine->tokens,
                         on_prefill_engine->prefix_source};
    }
    if (on_decode_engine) {
        return placement{
            on_decode_engine->index, std::nullopt, on_decode_engine->tokens, on_decode_engine->prefix_source};
    }
    return tl::make_unexpected(placement_error::no_engine_in_time);
}

} // namespace tanager
