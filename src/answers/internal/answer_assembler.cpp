#include "answers/answer_assembler.h"

namespace tanager {

answer_assembler::answer_assembler(const attempt_id& attempt) : attempt(attempt) {}

frame_verdict answer_assembler::accept(const protocol::answer_frame& frame)
{
    if (from_message(frame.attempt()) != this->attempt) {
        return frame_verdict::wrong_attempt;
    }
    if (this->ended || this->failed) {
        return frame_verdict::duplicate;
    }
    const bool is_empty =
        !frame.has_head() && frame.data().empty() && !frame.has_end() && !frame.has_failure();
    if (is_empty) {
        return frame_verdict::mismatch;
    }
    if (frame.has_head() && this->head_seen) {
        return frame_verdict::duplicate;
    }
    this->head_seen = this->head_seen || frame.has_head();
    if (!frame.data().empty()) {
        const auto verdict = this->accept_data(frame);
        if (verdict != frame_verdict::pass) {
            return verdict;
        }
    }
    if (frame.has_end()) {
        return this->accept_end(frame);
    }
    this->failed = frame.has_failure();
    return frame_verdict::pass;
}

frame_verdict answer_assembler::accept_data(const protocol::answer_frame& frame)
{
    if (frame.offset() < this->received) {
        return frame_verdict::duplicate;
    }
    if (!this->head_seen || frame.offset() > this->received) {
        return frame_verdict::gap;
    }
    this->received += frame.data().size();
    this->checksum.update(frame.data());
    return frame_verdict::pass;
}

frame_verdict answer_assembler::accept_end(const protocol::answer_frame& frame)
{
    if (!this->head_seen || frame.end().length() > this->received) {
        return frame_verdict::gap;
    }
    const bool fits =
        frame.end().length() == this->received && frame.end().checksum() == this->checksum.value();
    if (!fits) {
        return frame_verdict::mismatch;
    }
    this->ended = true;
    return frame_verdict::pass;
}

bool answer_assembler::is_whole() const
{
    return this->ended;
}

} // namespace tanager
