#include "entry/internal/answer_writer.h"

namespace tanager {

namespace {

constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_unsent_bytes = std::size_t{128} * 1024;

// An event stream comment, which clients ignore. A header would have to be sent before the outcome is known.
constexpr std::string_view stream_outcome_comment = ": tanager-outcome complete\n\n";

} // namespace

answer_writer::answer_writer(const received_request& request)
    : exchange(request.exchange), request_id(request.request_id)
{
}

void answer_writer::set_head(const protocol::answer_head& head)
{
    this->status = static_cast<int>(head.status());
    for (const auto& header : head.headers()) {
        if (header.name() == "Content-Type") {
            this->content_type = header.value();
        }
    }
    this->is_stream = this->content_type.starts_with("text/event-stream");
}

http_headers answer_writer::make_headers() const
{
    http_headers headers{{"X-Request-Id", this->request_id}};
    if (!this->content_type.empty()) {
        headers.push_back({"Content-Type", this->content_type});
    }
    return headers;
}

void answer_writer::start()
{
    this->is_started = true;
    this->exchange->start(this->status, this->make_headers());
    this->exchange->write(this->buffer);
    this->buffer.clear();
}

void answer_writer::write(std::string_view data)
{
    if (this->is_started) {
        this->exchange->write(data);
        return;
    }
    this->buffer += data;
    if (this->is_stream || this->buffer.size() > max_buffered_bytes) {
        this->start();
    }
}

void answer_writer::finish()
{
    if (this->is_started) {
        if (this->is_stream) {
            this->exchange->write(stream_outcome_comment);
        }
        this->exchange->finish();
        return;
    }
    auto headers = this->make_headers();
    headers.push_back({"Tanager-Outcome", std::string{name_of(request_outcome::complete)}});
    this->exchange->send_response({this->status, headers, this->buffer});
}

void answer_writer::abort()
{
    this->exchange->abort();
}

void answer_writer::reset()
{
    this->buffer.clear();
}

int answer_writer::answer_status() const
{
    return this->status;
}

const std::string& answer_writer::answer_content_type() const
{
    return this->content_type;
}

const std::string& answer_writer::buffered_body() const
{
    return this->buffer;
}

bool answer_writer::has_started() const
{
    return this->is_started;
}

bool answer_writer::is_congested() const
{
    return this->exchange->unsent_bytes() > max_unsent_bytes;
}

} // namespace tanager
