// Reassembles the answer of one attempt from its frames, on the receiving side.
#pragma once

#include "base/digest.h"
#include "protocol/types/attempt_id.h"

#include <tanager.pb.h>

namespace tanager {

// How the receiver treats a frame.
enum class frame_verdict {
    pass,          // next in order; forward it
    duplicate,     // already received; drop it
    wrong_attempt, // belongs to another attempt; drop it
    gap,           // earlier data or the head is missing; the attempt fails
    mismatch       // empty frame, or wrong length or checksum at the end; the attempt fails
};

// Accepts only contiguous frames of one attempt, and checks the length and the checksum at the end.
class answer_assembler {
public:
    explicit answer_assembler(const attempt_id& attempt);

    frame_verdict accept(const protocol::answer_frame& frame);

    // Returns whether the end frame has been accepted, so that the answer is complete.
    bool is_complete() const;

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
