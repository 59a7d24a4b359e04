// Bounds the calls of one gateway to a store that does not answer, and shares them among its feeds.
#pragma once

#include "base/clock.h"
#include "base/random_source.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// Load pattern: the store does not answer for seconds, and each gateway follows several kinds of objects
// there, its feeds. If each were retried by itself, the calls of the outage would grow with the feeds, and a
// gateway that starts would wait for the last of several retries. Or the store answers, but the calls of one
// feed fail again and again, since their answer is cut, too slow or malformed, or a status of 500. That must
// delay no other feed by more than one probe.
//
// Two failures in a row, of any feeds, open the circuit; an answer to any feed closes it for all. Another
// feed that was answered since this one's last failure shows that the store answers: the next failure is then
// one of the call alone and does not count.
//
// While the circuit is open, one call at a time is made as a probe. The most urgent feed that waits
// determines when it is due, and the feed whose last probe is the longest ago makes it. A probe whose answer
// takes longer than a second does not delay the next one.
class store_circuit_breaker {
public:
    // What the caller lacks while the store does not answer it: all that a gateway needs before it takes
    // requests, changes, or nothing.
    enum class urgency { starting, urgent, relaxed };

    // A call that waits for the circuit to close or for its turn.
    struct waiting_call {
        std::string feed;
        urgency wanted = urgency::urgent;

        friend bool operator==(const waiting_call&, const waiting_call&) = default;
    };

    // A call that has begun.
    struct store_call {
        std::string feed;
        std::uint64_t probe = 0; // its number, if the call is one

        bool is_probe() const
        {
            return this->probe > 0;
        }

        friend bool operator==(const store_call&, const store_call&) = default;
    };

    // The references must outlive the breaker.
    store_circuit_breaker(const clock& time, random_source& random);

    bool is_open() const;

    // Returns when the circuit opened last.
    time_point opened_at() const;

    // Returns the index of the call that may be made now as a probe of the open circuit; nothing if none is
    // due yet.
    std::optional<std::size_t> choose_probe(const std::vector<waiting_call>& waiting) const;

    // Records that a call of a feed begins, as a probe if the circuit is open.
    store_call begin_call(const std::string& feed);

    // Record the result of a call.
    void record_answer(const store_call& call);
    void record_failure(const store_call& call);

private:
    struct feed_record {
        bool has_failed = false;              // its last call
        std::uint64_t answers_at_failure = 0; // to all feeds, when it did
        std::uint64_t last_probe = 0;         // number of its last probe
    };

    bool is_probing() const;
    time_point probe_due_at(urgency wanted) const;
    void end_probe(const store_call& call);

    const clock& time;
    random_source& random;
    std::map<std::string, feed_record> feeds;
    unsigned failures_in_row = 0;
    std::uint64_t answer_count = 0;
    std::uint64_t probe_count = 0;
    std::uint64_t current_probe = 0; // 0 while there is none
    time_point probe_started_at;
    time_point last_opened_at;
    time_point starting_probe_at;
    time_point urgent_probe_at;
    time_point relaxed_probe_at;
};

} // namespace tanager
