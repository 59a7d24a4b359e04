// The messages about usage between gateways.
#pragma once

#include "base/clock.h"
#include "base/types/result.h"
#include "duties/types/usage_types.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tanager {

// Who sends a message, and the time of day that it believes.
struct usage_sender {
    std::string gateway;
    std::uint64_t instance = 0; // drawn at random by each process
    wall_time_point time;

    friend bool operator==(const usage_sender&, const usage_sender&) = default;
};

// The counts of a gateway, for the holder and its deputy.
struct usage_counts_message {
    usage_sender sender;
    std::uint64_t sequence = 0;
    std::vector<usage_entry> entries;

    friend bool operator==(const usage_counts_message&, const usage_counts_message&) = default;
};

struct usage_acknowledgement {
    usage_sender sender;
    std::uint64_t sequence = 0; // of the counts

    friend bool operator==(const usage_acknowledgement&, const usage_acknowledgement&) = default;
};

// The holder of the duty tells all gateways that it holds it.
struct usage_announcement {
    usage_sender sender;
    std::uint64_t token = 0;
    std::uint64_t voters = 0;        // how many gateways' times are the base of the sender's time
    window_number fixed_through = 0; // the counts of later windows are still needed; 0 while that is open
    bool is_resigning = false;

    friend bool operator==(const usage_announcement&, const usage_announcement&) = default;
};

// The answer to a holder whose announcement leaves `fixed_through` open, from a gateway that has recorded
// what earlier holders fixed.
struct usage_fixed_notice {
    usage_sender sender;
    window_number fixed_through = 0;

    friend bool operator==(const usage_fixed_notice&, const usage_fixed_notice&) = default;
};

using usage_message =
    std::variant<usage_counts_message, usage_acknowledgement, usage_announcement, usage_fixed_notice>;

// Counts in one message; the whole fits into two datagrams of the usual size.
inline constexpr std::size_t max_usage_entry_bytes = 2'800;

std::string encode_usage_message(const usage_message& message);

// Fails with request_malformed.
result<usage_message> decode_usage_message(std::string_view bytes);

} // namespace tanager
