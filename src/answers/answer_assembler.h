// Puts one attempt's frames together at the receiving side.
#pragma once

#include "base/digest.h"
#include "protocol/types/attempt_id.h"

#include <tanager.pb.h>

namespace tanager {

// What to do with a frame.
enum class frame_verdict {
    pass,          // next in order; hand it on
    duplicate,     // already seen; drop it
    wrong_attempt, // belongs to another attempt; drop it
    gap,           // something before it is missing; the attempt is broken
    mismatch       // the end does not fit what arrived; the attempt is broken
};

// Accepts only contiguous frames of one attempt and checks the length and the checksum at the end.
class answer_assembler {
public:
    explicit answer_assembler(const attempt_id& attempt);

    frame_verdict accept(const protocol::answer_frame& frame);

    // Returns whether the end has been accepted.
    bool is_whole() const;

private:
    frame_verdict accept_data(const protocol::answer_frame& frame);
    frame_verdict accept_end(const protocol::answer_frame& frame);

    attempt_id attempt;
    std::uint64_t received_bytes = 0;
    bool head_received = false;
    bool is_ended = false;
    bool has_failed = false;
    incremental_checksum checksum;
};

} // namespace tanager
