#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace tanager {

namespace protocol {
class attempt_id;
}

// Identifies one attempt of one request; unique across all entries and their restarts.
struct attempt_id {
    std::uint64_t entry_incarnation = 0;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// Returns "<incarnation as 16 hexadecimal digits>-<sequence>".
std::string to_text(const attempt_id& attempt);
attempt_id from_message(const protocol::attempt_id& message);
void fill_message(const attempt_id& attempt, protocol::attempt_id& message);

} // namespace tanager
