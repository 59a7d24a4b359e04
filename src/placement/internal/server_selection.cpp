#include "placement/server_selection.h"

#include "base/digest.h"
#include "placement/internal/engine_split.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>

namespace tanager {

namespace {

// Prompts below this are read within a millisecond or two wherever they go.
constexpr std::uint32_t shortest_homed_prompt = 600;
// What reading beside the tokens of others costs these, as a factor on the time that it takes.
constexpr double own_reading_cost = 1.5;
// An engine of this data centre may be fuller than another one by this share of its slots.
constexpr double local_surplus = 0.25;
// Engines with long outputs are given prompts up to this part of their slots.
constexpr double shared_use = 0.75;
// A shared part is read again only on an engine that would still have this part of the time to spare: under
// load, reading it again takes the room of two prompts that are at home.
constexpr double read_again_share = 0.4;
// Prompt tokens before a prompt that is too long for its objective anyway.
constexpr std::uint64_t unread_before_oversized = 3'000;
// Such a prompt also waits until the link of this host is free for this part of the objective.
constexpr double queued_before_oversized = 0.25;
// Engines that are compared when one with room is wanted.
constexpr std::size_t drawn_engines = 3;
// Requests queued at a plain server for each of its slots: as many again start within one service time.
constexpr std::uint32_t queued_per_slot = 1;

std::uint32_t running(const placement_candidate& candidate)
{
    return candidate.local_running + candidate.peer_running;
}

bool may_be_used(const placement_candidate& candidate)
{
    // A server on trial gets one request at a time, so that it costs one if it is still down.
    return !candidate.was_tried && !candidate.is_excluded &&
           (!candidate.is_probing || candidate.local_running == 0);
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

// Returns the least used of a few drawn by lot. What other gateways have running is known late, and all know
// it alike: were each to take the least used of all, they would all take the same one.
std::size_t least_used_of_few(const std::vector<placement_candidate>& candidates,
                              std::vector<std::size_t> indexes,
                              random_source& random)
{
    for (std::size_t drawn = 0; drawn < std::min(drawn_engines, indexes.size()); ++drawn) {
        std::swap(indexes[drawn], indexes[drawn + random.next() % (indexes.size() - drawn)]);
    }
    indexes.resize(std::min(drawn_engines, indexes.size()));
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

// Returns the generating engines with room, split.
tl::expected<engine_split, placement_error>
decoders_with_room(const std::vector<placement_candidate>& candidates, const std::vector<std::size_t>& usable)
{
    const auto decoders = with_role(candidates, usable, engine_role::decode);
    if (decoders.empty()) {
        return tl::make_unexpected(placement_error::no_available_server);
    }
    auto split = split_engines(candidates, decoders);
    const auto is_full = [&](std::size_t index) {
        return running(candidates[index]) >= candidates[index].server->slots;
    };
    std::erase_if(split.gathering, is_full);
    std::erase_if(split.others, is_full);
    if (split.gathering.empty() && split.others.empty()) {
        return tl::make_unexpected(placement_error::no_free_slot);
    }
    return split;
}

// Returns the engines that generate from prompts which were read elsewhere: first those with long outputs,
// which read nothing and so begin at once, as long as these stay quick.
std::vector<std::size_t> for_prompts(const std::vector<placement_candidate>& candidates,
                                     const engine_split& engines)
{
    auto quick = engines.gathering;
    std::erase_if(quick, [&](std::size_t index) { return use_of(candidates[index]) >= shared_use; });
    if (!quick.empty()) {
        return quick;
    }
    return engines.others.empty() ? engines.gathering : engines.others;
}

double to_milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

// What may pass until a prompt has been read.
struct reading_budget {
    double milliseconds = 0; // of the engine
    double sending = 0;      // of this host's link, before the engine begins
    bool is_link_free = true;
};

reading_budget make_budget(double milliseconds, const send_delay& sending)
{
    const double queued = to_milliseconds(sending.queued);
    return {milliseconds,
            queued + to_milliseconds(sending.own),
            queued <= milliseconds * queued_before_oversized};
}

// An engine that can read a prompt in time.
struct reading_place {
    std::size_t index = 0;
    std::uint32_t tokens = 0;
    double milliseconds = 0;
};

double expected_milliseconds(const placement_candidate& candidate, std::uint64_t tokens)
{
    return candidate.base_latency_milliseconds +
           static_cast<double>(tokens) * candidate.prefill_milliseconds_per_token;
}

// Returns the first engine, in the order of homes of the shared part, that can read the prompt in time.
std::optional<reading_place> first_fit(const prompt_shape& prompt,
                                       const reading_budget& budget,
                                       const std::vector<placement_candidate>& candidates,
                                       std::vector<std::size_t> indexes)
{
    const auto rank = [&](std::size_t index) {
        return hash64(candidates[index].server->id, prompt.prefix_key);
    };
    std::ranges::sort(indexes, std::greater<>{}, rank);
    for (std::size_t place = 0; place < indexes.size(); ++place) {
        const auto& candidate = candidates[indexes[place]];
        // The first home is taken to hold the shared part, since every gateway sends it there.
        const bool is_read_again = place > 0 && !candidate.has_prefix_cached;
        const auto tokens = prompt.suffix_tokens + (is_read_again ? prompt.prefix_tokens : 0);
        const double expected =
            budget.sending + expected_milliseconds(candidate, candidate.pending_prefill_tokens + tokens);
        const bool is_oversized = expected_milliseconds(candidate, tokens) > budget.milliseconds;
        const bool is_calm =
            budget.is_link_free && candidate.pending_prefill_tokens <= unread_before_oversized;
        const double allowed = is_read_again ? budget.milliseconds * read_again_share : budget.milliseconds;
        if (expected <= allowed || (is_oversized && is_calm)) {
            return reading_place{indexes[place], tokens, expected};
        }
    }
    return std::nullopt;
}

// Returns the fullest gathering engine that takes one more, or else the one of the others with the least to
// do.
std::size_t place_long_output(const std::vector<placement_candidate>& candidates,
                              const engine_split& engines,
                              random_source& random)
{
    if (engines.gathering.empty()) {
        return least_used(candidates, engines.others, random);
    }
    auto taking = engines.gathering;
    std::erase_if(taking, [&](std::size_t index) {
        return candidates[index].is_slow || !takes_long_output(candidates[index]);
    });
    if (!taking.empty()) {
        return *std::ranges::max_element(
            taking, {}, [&](std::size_t index) { return candidates[index].long_outputs; });
    }
    const auto& rest = engines.others.empty() ? engines.gathering : engines.others;
    return *std::ranges::min_element(rest, {}, [&](std::size_t index) {
        const auto& candidate = candidates[index];
        return std::tuple{
            candidate.is_slow, candidate.long_outputs, candidate.pending_prefill_tokens, running(candidate)};
    });
}

// Returns the least used engine of this data centre while that is not much fuller than others: a prompt that
// was read elsewhere has no home among the generators, and bytes between data centres cost.
std::size_t nearest_with_room(const std::vector<placement_candidate>& candidates,
                              const std::vector<std::size_t>& decoders,
                              random_source& random)
{
    std::vector<std::size_t> local;
    for (const auto index : decoders) {
        if (candidates[index].is_same_data_centre) {
            local.push_back(index);
        }
    }
    const auto emptiest = least_used_of_few(candidates, decoders, random);
    if (local.empty()) {
        return emptiest;
    }
    const auto nearest = least_used_of_few(candidates, local, random);
    return use_of(candidates[nearest]) <= use_of(candidates[emptiest]) + local_surplus ? nearest : emptiest;
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
        return running(candidates[index]) >= candidates[index].server->slots * (1 + queued_per_slot);
    });
    if (usable.empty()) {
        return tl::make_unexpected(placement_error::no_free_slot);
    }
    return placement{least_used(candidates, usable, random), std::nullopt, 0};
}

placement_result choose_decode_engine(const std::vector<placement_candidate>& candidates,
                                      random_source& random)
{
    const auto decoders = decoders_with_room(candidates, usable_indexes(candidates));
    if (!decoders) {
        return tl::make_unexpected(decoders.error());
    }
    return placement{
        nearest_with_room(candidates, for_prompts(candidates, *decoders), random), std::nullopt, 0};
}

placement_result choose_engines(const prompt_shape& prompt,
                                std::chrono::milliseconds time_left,
                                const std::vector<placement_candidate>& candidates,
                                random_source& random,
                                const send_delay& sending)
{
    const auto usable = usable_indexes(candidates);
    const auto found = decoders_with_room(candidates, usable);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    if (prompt.has_long_output()) {
        return placement{place_long_output(candidates, *found, random), std::nullopt, prompt.suffix_tokens};
    }
    const auto decoders = for_prompts(candidates, *found);
    if (prompt.prefix_tokens + prompt.suffix_tokens < shortest_homed_prompt) {
        return placement{least_used(candidates, decoders, random), std::nullopt, prompt.suffix_tokens};
    }
    const auto emptiest = nearest_with_room(candidates, decoders, random);
    const auto budget = static_cast<double>(time_left.count());
    // What follows once the prompt has been read apart: it is sent again, and the first events are made.
    const double rest = to_milliseconds(sending.total()) + candidates[emptiest].base_latency_milliseconds;
    const auto reader = first_fit(prompt,
                                  make_budget(budget - rest, sending),
                                  candidates,
                                  with_role(candidates, usable, engine_role::prefill));
    const auto alone = first_fit(prompt, make_budget(budget, sending), candidates, found->others);
    // Reading beside the tokens of others slows those down, so a reader is taken unless it takes much longer.
    if (reader && (!alone || reader->milliseconds + rest <= alone->milliseconds * own_reading_cost)) {
        return placement{emptiest, reader->index, reader->tokens};
    }
    if (alone) {
        return placement{alone->index, std::nullopt, alone->tokens};
    }
    return tl::make_unexpected(placement_error::no_free_slot);
}

} // namespace tanager
