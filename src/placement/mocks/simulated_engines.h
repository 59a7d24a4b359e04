// A fleet of model engines for tests of placement: prefill takes time, prefixes stay cached, streams run.
#pragma once

#include "placement/server_selection.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanager {

// Figures of one kind of engine.
struct simulated_engine_kind {
    double prefill_tokens_per_millisecond = 0; // of a prefill engine; a decode engine has half of it
    std::uint32_t slots = 1;
    double decode_milliseconds = 0; // from the first event of a stream to its last

    friend bool operator==(const simulated_engine_kind&, const simulated_engine_kind&) = default;
};

// Engines that prefill their prompts one after the other. Time is in milliseconds and passed in by the test.
// The placement decision sees the true state of the fleet.
class simulated_engines {
public:
    simulated_engines(const simulated_engine_kind& kind, int prefill_engines, int decode_engines) : kind(kind)
    {
        for (int index = 0; index < prefill_engines; ++index) {
            this->add("p" + std::to_string(index), engine_role::prefill);
        }
        for (int index = 0; index < decode_engines; ++index) {
            this->add("d" + std::to_string(index), engine_role::decode);
        }
    }

    // Places a prompt and runs it. Returns the milliseconds until its first token, or nothing if it was not
    // placed.
    std::optional<double>
    serve(const prompt_shape& prompt, const prompt_objectives& objectives, double now, random_source& random)
    {
        const auto chosen = choose_engines(prompt, objectives, this->candidates(prompt, now), random);
        if (!chosen) {
            return std::nullopt;
        }
        auto& prefilling = this->engines[chosen->prefill_engine.value_or(chosen->server)];
        const bool is_cached = prefilling.cached_prefixes.contains(prompt.prefix_key);
        const bool is_fetched =
            !is_cached && chosen->prefix_source &&
            this->engines[*chosen->prefix_source].cached_prefixes.contains(prompt.prefix_key);
        double tokens = prompt.suffix_tokens;
        if (is_fetched) {
            ++this->prefix_fetches[prompt.prefix_key];
            tokens += prompt.prefix_tokens * prefix_fetch_cost_ratio;
        } else if (!is_cached) {
            ++this->prefix_prefills[prompt.prefix_key];
            tokens += prompt.prefix_tokens;
        }
        prefilling.cached_prefixes.insert(prompt.prefix_key);
        const double started_at = std::max(now, prefilling.prefilled_at);
        prefilling.prefilled_at = started_at + tokens * prefilling.milliseconds_per_token;
        if (prefilling.server->role == engine_role::decode && this->running(prefilling, now) > 0) {
            this->longest_stream_pause = std::max(this->longest_stream_pause, prefilling.prefilled_at - now);
        }
        this->engines[chosen->server].stream_ends.push_back(prefilling.prefilled_at +
                                                            this->kind.decode_milliseconds);
        return prefilling.prefilled_at - now;
    }

    std::map<std::uint64_t, int> prefix_prefills; // how often each prefix was computed
    std::map<std::uint64_t, int> prefix_fetches;  // how often it was fetched from another engine
    double longest_stream_pause = 0; // of streams on a decode engine that prefilled, in milliseconds

private:
    // Time to fetch a token from another engine, relative to computing it.
    static constexpr double prefix_fetch_cost_ratio = 0.06;

    struct engine {
        std::shared_ptr<backend_server> server;
        double milliseconds_per_token = 0;
        double prefilled_at = 0; // when all its prompts are prefilled
        std::set<std::uint64_t> cached_prefixes;
        std::vector<double> stream_ends;
    };

    void add(const std::string& id, engine_role role)
    {
        const double slow_down = role == engine_role::decode ? 2 : 1;
        engine added;
        added.server = std::make_shared<backend_server>();
        added.server->id = id;
        added.server->slots = this->kind.slots;
        added.server->role = role;
        added.milliseconds_per_token = slow_down / this->kind.prefill_tokens_per_millisecond;
        this->engines.push_back(added);
    }

    static std::uint32_t running(const engine& counted, double now)
    {
        return static_cast<std::uint32_t>(
            std::ranges::count_if(counted.stream_ends, [&](double end) { return end > now; }));
    }

    std::vector<placement_candidate> candidates(const prompt_shape& prompt, double now) const
    {
        std::vector<placement_candidate> found;
        for (const auto& known : this->engines) {
            placement_candidate candidate;
            candidate.server = known.server;
            candidate.peer_running = running(known, now);
            candidate.prefill_milliseconds_per_token = known.milliseconds_per_token;
            candidate.pending_prefill_tokens = static_cast<std::uint64_t>(
                std::ceil(std::max(0.0, known.prefilled_at - now) / known.milliseconds_per_token));
            candidate.has_prefix_cached = known.cached_prefixes.contains(prompt.prefix_key);
            found.push_back(candidate);
        }
        return found;
    }

    simulated_engine_kind kind;
    std::vector<engine> engines;
};

} // namespace tanager
