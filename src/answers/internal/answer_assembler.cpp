#include "answers/answer_assembler.h"

namespace tanager {

answer_assembler::answer_assembler(const attempt_id& attempt) : attempt(attempt) {}

frame_verdict answer_assembler::accept(const protocol::answer_frame& frame)
{
    if (from_message(frame.attempt()) != this->attempt) {
        return frame_verdict::wrong_attempt;
    }
    if (this->is_ended || this->has_failed) {
        return frame_verdict::duplicate;
    }
    const bool is_empty =
        !frame.has_head() && frame.data().empty() && !frame.has_end() && !frame.has_failure();
    if (is_empty) {
        return frame_verdict::mismatch;
    }
    if (frame.has_head() && this->head_received) {
        return frame_verdict::duplicate;
    }
    this->head_received = this->head_received || frame.has_head();
    if (!frame.data().empty()) {
        const auto verdict = this->accept_data(frame);
        if (verdict != frame_verdict::pass) {
            return verdict;
        }
    }
    if (frame.has_end()) {
        return this->accept_end(frame);
    }
    this->has_failed = frame.has_failure();
    return frame_verdict::pass;
}

frame_verdict answer_assembler::accept_data(const protocol::answer_frame& frame)
{
    if (frame.offset() < this->received_bytes) {
        return frame_verdict::duplicate;
    }
    if (!this->head_received || frame.offset() > this->received_bytes) {
        return frame_verdict::gap;
    }
    this->received_bytes += frame.data().size();
    this->checksum.update(frame.data());
    return frame_verdict::pass;
}

frame_verdict answer_assembler::accept_end(const protocol::answer_frame& frame)
{
    if (!this->head_received || frame.end().length() > this->received_bytes) {
        return frame_verdict::gap;
    }
    const bool is_valid_end =
        frame.end().length() == this->received_bytes && frame.end().checksum() == this->checksum.value();
    if (!is_valid_end) {
        return frame_verdict::mismatch;
    }
    this->is_ended = true;
    return frame_verdict::pass;
}

bool answer_assembler::is_complete() const
{
    return this->is_ended;
}

} // namespace tanager
