// Holds the counts of this gateway until they are no longer needed, and tells what has to be sent to whom.
#pragma once

#include "duties/types/usage_types.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanager {

// A message to one gateway that is repeated, with what has changed since, until it is acknowledged.
struct usage_batch {
    std::uint64_t sequence = 0;
    std::vector<usage_entry> entries;

    friend bool operator==(const usage_batch&, const usage_batch&) = default;
};

// Load pattern: counts rise all the time, and their gateway may be killed at any moment. They are therefore
// sent while their window is still open, to the holder of the duty and to a deputy that may follow it. Only
// counts that the receiver has not acknowledged are sent; each message carries whole counts instead of
// increments, so that a message may be lost, repeated or late.
class usage_outbox {
public:
    enum class receiver : std::size_t { holder, deputy };

    void record(window_number window, const std::string& organisation);

    // Counts what was recorded for windows after `last` in window `target` instead: the time was wrong.
    void move_later_than(window_number last, window_number target);

    // Removes the windows up to and including this one, which are fixed.
    void drop_through(window_number window);

    // All counts are sent again to another gateway, or to another process of the same one.
    void set_receiver(receiver role, const std::optional<std::string>& gateway);

    // Returns what the receiver lacks, the oldest windows first, with at most so many bytes.
    usage_batch next_batch(receiver role, std::size_t max_bytes);
    void acknowledge(const std::string& gateway, std::uint64_t instance, std::uint64_t sequence);

    const std::optional<std::string>& gateway_of(receiver role) const;
    const std::map<window_number, organisation_counts>& counts() const;

private:
    using entry_key = std::pair<window_number, std::string>;

    struct receiver_state {
        std::optional<std::string> gateway;
        std::uint64_t instance = 0; // 0 while unknown
        std::map<entry_key, std::uint64_t> acknowledged;
        std::map<std::uint64_t, std::vector<usage_entry>> unacknowledged; // by sequence
    };

    std::map<window_number, organisation_counts> windows;
    std::array<receiver_state, 2> receivers;
    std::uint64_t last_sequence = 0;
};

} // namespace tanager
