#include "quarantine/crash_suspicion_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace tanager {

namespace {

// How many servers must end under requests with a trait before it is quarantined. A silent server counts
// less, since it may only be cut off.
struct end_limits {
    std::ptrdiff_t confirmed;
    std::size_t any;
};

// One server may end by coincidence.
constexpr end_limits content_limits{2, 3};
// Nothing explains that many ends under one content: it has lost every attempt of its caller and of a retry.
constexpr std::size_t conclusive_content_ends = 3;
// Popular parts run on many servers at once, and quarantining one rejects requests of many callers.
constexpr end_limits prompt_part_limits{3, 4};
// Servers may end together for a reason of their own, under requests that have a common part. A part is
// quarantined only if a server ended under a request that was sent after another server had ended.
constexpr std::size_t min_successive_ends = 2;
// Gateways see the ends of servers that end together within some milliseconds, and retry meanwhile.
constexpr std::chrono::milliseconds min_time_between_ends{20};
// Without successive ends, for a part that no request is known to have been completed with: so many requests
// at once have only popular parts in common, or one that ends servers.
constexpr std::size_t min_simultaneous_ends = 5;
// Enough to explain the ends under all that ran beside a quarantined request.
constexpr std::size_t max_ends = 64;
// A crash suspects each request that ran on the server, with all its parts.
constexpr std::size_t max_suspects = 2'048;
// Shared parts in use at one gateway.
constexpr std::size_t min_remembered_parts = 4'096;

// Returns the length of the longest series of ends, each under a request that was sent after the end before.
std::size_t count_successive(std::vector<server_end> ends)
{
    std::ranges::sort(ends, {}, &server_end::ended_at);
    std::size_t count = 0;
    time_point last_end;
    for (const auto& end : ends) {
        const bool is_first = count == 0;
        if (is_first || (end.sent_at >= last_end && end.ended_at >= last_end + min_time_between_ends)) {
            ++count;
            last_end = end.ended_at;
        }
    }
    return count;
}

} // namespace

crash_suspicion_table::crash_suspicion_table(const clock& time, duration retention)
    : time(time), retention(retention), completions(min_remembered_parts)
{
}

// Returns whether this gateway knows of a completed request with a prompt part.
bool crash_suspicion_table::is_proven(const request_trait& trait) const
{
    return !trait.is_content() && this->completions.last_completion(trait.fingerprint).has_value();
}

bool crash_suspicion_table::is_enough(const request_trait& trait, const std::vector<server_end>& ends) const
{
    const auto& limits = trait.is_content() ? content_limits : prompt_part_limits;
    const bool are_many = ends.size() >= limits.any ||
                          std::ranges::count_if(ends, &server_end::is_confirmed) >= limits.confirmed;
    if (!are_many || trait.is_content()) {
        return are_many;
    }
    return count_successive(ends) >= min_successive_ends ||
           (!this->is_proven(trait) && ends.size() >= min_simultaneous_ends);
}

// Returns whether a trait is quarantined whatever else may explain the ends.
bool crash_suspicion_table::is_conclusive(const request_trait& trait, const std::vector<server_end>& ends)
{
    return trait.is_content() && ends.size() >= conclusive_content_ends;
}

std::vector<server_end> crash_suspicion_table::unexcused(const suspected_trait& suspected)
{
    auto counted = suspected.ends;
    std::erase_if(counted, &server_end::is_excused);
    return counted;
}

bool crash_suspicion_table::add_end(std::vector<server_end>& ends, const server_end& end)
{
    const auto known = std::ranges::find(ends, end.server, &server_end::server);
    if (known == ends.end()) {
        if (ends.size() == max_ends) {
            const auto excused = std::ranges::find(ends, true, &server_end::is_excused);
            if (excused == ends.end()) {
                return false;
            }
            ends.erase(excused);
        }
        ends.push_back(end);
        return true;
    }
    const bool is_news = (end.is_confirmed && !known->is_confirmed) || (end.is_excused && !known->is_excused);
    known->is_confirmed = known->is_confirmed || end.is_confirmed;
    known->is_excused = known->is_excused || end.is_excused;
    known->ended_at = std::min(known->ended_at, end.ended_at);
    known->sent_at = std::max(known->sent_at, end.sent_at);
    return is_news;
}

void crash_suspicion_table::remove_ends(std::vector<server_end>& ends,
                                        const std::vector<server_end>& explained)
{
    std::erase_if(ends, [&](const server_end& end) {
        return std::ranges::find(explained, end.server, &server_end::server) != explained.end();
    });
}

bool crash_suspicion_table::record_end(const request_trait& trait, const server_end& end)
{
    if (this->is_proven(trait) && *this->completions.last_completion(trait.fingerprint) >= end.sent_at) {
        return false;
    }
    auto& suspected = this->suspects[trait];
    suspected.specificity = std::max(suspected.specificity, trait.specificity);
    if (!add_end(suspected.ends, end)) {
        return false;
    }
    suspected.changed_at = this->time.now();
    if (this->is_candidate(trait)) {
        this->update_quarantine();
    }
    this->drop_least_relevant();
    return true;
}

bool crash_suspicion_table::excuse(const request_trait& trait)
{
    if (!trait.is_content()) {
        this->completions.record(trait.fingerprint, this->time.now());
    }
    const auto found = this->suspects.find(trait);
    if (found == this->suspects.end()) {
        return false;
    }
    auto& ends = found->second.ends;
    const bool was_candidate = this->is_candidate(trait);
    bool has_excused = false;
    for (auto& end : ends) {
        const bool is_next = !end.is_excused && !(trait.is_content() && has_excused);
        end.is_excused = end.is_excused || is_next;
        has_excused = has_excused || is_next;
    }
    if (!has_excused) {
        return false;
    }
    found->second.changed_at = this->time.now();
    if (was_candidate) {
        this->update_quarantine();
    }
    return true;
}

bool crash_suspicion_table::merge(const crash_suspicion& received)
{
    const auto changed_at = this->time.now() - received.age;
    if (received.age >= this->retention || received.ends.empty()) {
        return false;
    }
    auto& suspected = this->suspects[received.trait];
    suspected.specificity = std::max(suspected.specificity, received.trait.specificity);
    const bool was_candidate = this->is_candidate(received.trait);
    bool is_news = false;
    for (const auto& end : received.ends) {
        is_news = add_end(suspected.ends, end) || is_news;
    }
    if (!is_news) {
        return false;
    }
    suspected.changed_at = std::max(suspected.changed_at, changed_at);
    if (was_candidate || this->is_candidate(received.trait)) {
        this->update_quarantine();
    }
    this->drop_least_relevant();
    return true;
}

bool crash_suspicion_table::is_candidate(const request_trait& trait) const
{
    const auto found = this->suspects.find(trait);
    return found != this->suspects.end() && this->is_enough(trait, unexcused(found->second)) &&
           found->second.changed_at + this->retention > this->time.now();
}

std::vector<crash_suspicion_table::quarantine_candidate> crash_suspicion_table::candidates() const
{
    std::vector<quarantine_candidate> found;
    for (const auto& [trait, suspected] : this->suspects) {
        if (this->is_candidate(trait)) {
            found.push_back({{trait.fingerprint, suspected.specificity}, unexcused(suspected)});
        }
    }
    return found;
}

// Quarantines the traits that explain most ends, and then those that explain most of the rest. Traits that
// explain equally many are told apart by whether requests with them are known to have been completed, and by
// which fewer requests have; what is still equal is quarantined together.
void crash_suspicion_table::update_quarantine()
{
    const auto rank = [this](const quarantine_candidate& candidate) {
        return std::tuple{candidate.unexplained_ends.size(),
                          !this->is_proven(candidate.trait),
                          candidate.trait.specificity};
    };
    this->quarantined_traits.clear();
    auto remaining = this->candidates();
    for (const auto& candidate : remaining) {
        if (is_conclusive(candidate.trait, candidate.unexplained_ends)) {
            this->quarantined_traits.insert(candidate.trait);
        }
    }
    while (!remaining.empty()) {
        const auto best = rank(*std::ranges::max_element(remaining, {}, rank));
        std::vector<server_end> explained;
        for (const auto& candidate : remaining) {
            if (rank(candidate) == best) {
                this->quarantined_traits.insert(candidate.trait);
                std::ranges::copy(candidate.unexplained_ends, std::back_inserter(explained));
            }
        }
        for (auto& candidate : remaining) {
            remove_ends(candidate.unexplained_ends, explained);
        }
        std::erase_if(remaining, [this](const quarantine_candidate& candidate) {
            return !this->is_enough(candidate.trait, candidate.unexplained_ends);
        });
    }
}

duration crash_suspicion_table::quarantine_left(const request_trait& trait,
                                                const std::vector<server_end>& pending) const
{
    const auto found = this->suspects.find(trait);
    if (found != this->suspects.end() && this->quarantined_traits.contains(trait)) {
        return std::max(found->second.changed_at + this->retention - this->time.now(), duration{0});
    }
    if (pending.empty()) {
        return duration{0};
    }
    const bool is_known =
        found != this->suspects.end() && found->second.changed_at + this->retention > this->time.now();
    auto ends = is_known ? unexcused(found->second) : std::vector<server_end>{};
    for (const auto& quarantined_trait : this->quarantined_traits) {
        remove_ends(ends, this->suspects.at(quarantined_trait).ends);
    }
    for (const auto& end : pending) {
        add_end(ends, end);
    }
    return this->is_enough(trait, ends) ? this->retention : duration{0};
}

std::optional<crash_suspicion> crash_suspicion_table::find(const request_trait& trait) const
{
    const auto found = this->suspects.find(trait);
    return found == this->suspects.end() ? std::nullopt
                                         : std::optional{this->to_suspicion(trait, found->second)};
}

crash_suspicion crash_suspicion_table::to_suspicion(const request_trait& trait,
                                                    const suspected_trait& suspected) const
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->time.now() - suspected.changed_at);
    return {{trait.fingerprint, suspected.specificity}, suspected.ends, age};
}

std::vector<crash_suspicion> crash_suspicion_table::take_next(std::size_t max_count)
{
    std::vector<crash_suspicion> selected;
    for (const auto& trait : this->quarantined_traits) {
        if (selected.size() < max_count) {
            selected.push_back(this->to_suspicion(trait, this->suspects.at(trait)));
        }
    }
    auto next = this->suspects.upper_bound(this->last_taken);
    for (std::size_t visited = 0; visited < this->suspects.size() && selected.size() < max_count; ++visited) {
        if (next == this->suspects.end()) {
            next = this->suspects.begin();
        }
        this->last_taken = next->first;
        if (!this->quarantined_traits.contains(next->first)) {
            selected.push_back(this->to_suspicion(next->first, next->second));
        }
        ++next;
    }
    return selected;
}

const std::set<request_trait>& crash_suspicion_table::quarantined() const
{
    return this->quarantined_traits;
}

bool crash_suspicion_table::is_empty() const
{
    return this->suspects.empty();
}

void crash_suspicion_table::remove_expired()
{
    const auto removed = std::erase_if(this->suspects, [this](const auto& suspect) {
        return this->time.now() - suspect.second.changed_at >= this->retention;
    });
    if (removed > 0) {
        this->update_quarantine();
    }
}

void crash_suspicion_table::drop_least_relevant()
{
    if (this->suspects.size() <= max_suspects) {
        return;
    }
    const auto dropped = std::ranges::min_element(this->suspects, {}, [this](const auto& suspect) {
        return std::tuple{this->quarantined_traits.contains(suspect.first),
                          unexcused(suspect.second).size(),
                          suspect.second.changed_at};
    });
    this->quarantined_traits.erase(dropped->first);
    this->suspects.erase(dropped);
}

} // namespace tanager
