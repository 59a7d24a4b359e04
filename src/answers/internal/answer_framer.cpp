#include "answers/answer_framer.h"

namespace tanager {

answer_framer::answer_framer(const attempt_id& attempt) : attempt(attempt) {}

protocol::answer_frame answer_framer::make_frame() const
{
    protocol::answer_frame frame;
    fill_message(this->attempt, *frame.mutable_attempt());
    frame.set_offset(this->offset);
    return frame;
}

protocol::answer_frame answer_framer::make_head(int status) const
{
    auto frame = this->make_frame();
    frame.mutable_head()->set_status(static_cast<std::uint32_t>(status));
    return frame;
}

protocol::answer_frame answer_framer::make_data(std::string_view data)
{
    auto frame = this->make_frame();
    frame.set_data(data.data(), data.size());
    this->offset += data.size();
    this->checksum.update(data);
    return frame;
}

protocol::answer_frame answer_framer::make_end() const
{
    auto frame = this->make_frame();
    frame.mutable_end()->set_length(this->offset);
    frame.mutable_end()->set_checksum(this->checksum.value());
    return frame;
}

protocol::answer_frame answer_framer::make_failure(const error& cause, bool not_run) const
{
    auto frame = this->make_frame();
    frame.mutable_failure()->set_code(static_cast<std::uint32_t>(cause.code));
    frame.mutable_failure()->set_not_run(not_run);
    frame.mutable_failure()->set_detail(cause.detail);
    return frame;
}

bool answer_framer::try_merge(protocol::answer_frame& before,
                              const protocol::answer_frame& next,
                              std::size_t max_data_bytes)
{
    const bool is_open = !before.has_end() && !before.has_failure() && !next.has_head();
    if (!is_open || before.data().size() + next.data().size() > max_data_bytes) {
        return false;
    }
    before.mutable_data()->append(next.data());
    if (next.has_end()) {
        *before.mutable_end() = next.end();
    }
    if (next.has_failure()) {
        *before.mutable_failure() = next.failure();
    }
    return true;
}

} // namespace tanager
