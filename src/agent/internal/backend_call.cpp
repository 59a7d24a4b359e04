#include "agent/internal/backend_call.h"

#include "logging/event_log.h"

namespace tanager {

namespace {

// Reading from the backend server pauses while more data than this is queued for the entry.
constexpr std::size_t max_queued_bytes = std::size_t{256} * 1024;
constexpr int min_server_error_status = 500;

} // namespace

backend_call::backend_call(event_loop& loop,
                           const clock& time,
                           metrics_registry& metrics,
                           dispatched_attempt work,
                           bool is_model,
                           crash_lookup lookup_crash,
                           done_callback done)
    : loop(loop),
      time(time),
      metrics(metrics),
      work(std::move(work)),
      is_model(is_model),
      lookup_crash(std::move(lookup_crash)),
      done(std::move(done)),
      framer(this->work.attempt),
      validator(response_format::opaque)
{
}

http_request backend_call::make_request() const
{
    const auto& request = *this->work.request;
    http_request forwarded{request.method(), request.path(), {}, request.body()};
    for (const auto& header : request.headers()) {
        forwarded.headers.push_back({header.name(), header.value()});
    }
    forwarded.headers.push_back({"X-Request-Id", request.request_id()});
    forwarded.headers.push_back({"X-Priority", std::to_string(request.priority())});
    return forwarded;
}

void backend_call::start(http_client& client, const socket_address& backend)
{
    this->started_at = this->time.now();
    const auto self = this->shared_from_this();
    this->work.stream->on_cancelled([weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->on_cancelled();
        }
    });
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->work.deadline - this->started_at);
    this->deadline_timer = this->loop.run_after(remaining, [self] { self->on_deadline(); });
    // If a reused connection breaks, the request may or may not have been received. A new connection makes
    // that certain, so only idempotent requests reuse one.
    const http_call_options options{remaining + std::chrono::seconds{1}, this->work.request->idempotent()};
    this->call = client.start(backend, this->make_request(), options, self);
    this->work.stream->on_queue_empty([weak = this->weak_from_this()] {
        const auto alive = weak.lock();
        if (alive != nullptr && alive->is_paused) {
            alive->is_paused = false;
            alive->call->resume();
        }
    });
}

void backend_call::on_head(int status, const http_headers& headers)
{
    if (this->is_model && status >= min_server_error_status) {
        this->abort({result_code::backend_failed, "status " + std::to_string(status)});
        return;
    }
    this->validator =
        response_validator(this->is_model ? response_format_of(headers) : response_format::opaque);
    auto frame = this->framer.make_head(status);
    const std::string content_type = find_header(headers, "Content-Type");
    if (!content_type.empty()) {
        auto* const header = frame.mutable_head()->add_headers();
        header->set_name("Content-Type");
        header->set_value(content_type);
    }
    this->work.stream->write(std::move(frame));
}

void backend_call::record_token_latency()
{
    const auto now = this->time.now();
    if (this->is_awaiting_first_data) {
        this->is_awaiting_first_data = false;
        this->metrics.observe_duration(
            "tanager_first_token_seconds", this->work.labels, now - this->work.received_at);
    } else {
        this->metrics.observe_duration(
            "tanager_between_tokens_seconds", this->work.labels, now - this->last_data_at);
    }
    this->last_data_at = now;
}

void backend_call::on_data(std::string_view data)
{
    if (this->has_ended) {
        return;
    }
    const auto checked = this->validator.feed(data);
    if (!checked) {
        this->abort(checked.error());
        return;
    }
    this->record_token_latency();
    this->work.stream->write(this->framer.make_data(data));
    if (!this->is_paused && this->work.stream->queued_bytes() > max_queued_bytes) {
        this->is_paused = true;
        this->call->pause();
    }
}

void backend_call::on_end()
{
    if (this->has_ended) {
        return;
    }
    const auto complete = this->validator.check_complete();
    if (complete) {
        this->work.stream->write(this->framer.make_end());
        this->metrics.observe_duration(
            "tanager_request_seconds", this->work.labels, this->time.now() - this->work.received_at);
    }
    this->finish({complete, false, 0});
}

void backend_call::on_failure(const http_failure& failure)
{
    if (failure.progress == call_progress::not_sent) {
        this->finish({fail(result_code::backend_unreachable, failure.cause.detail), true, 0});
        return;
    }
    const auto self = this->shared_from_this();
    this->lookup_crash([self, detail = failure.cause.detail](std::uint64_t crash) {
        const auto code = crash == 0 ? result_code::backend_failed : result_code::backend_crashed;
        self->finish({fail(code, detail), false, crash});
    });
}

void backend_call::on_cancelled()
{
    // An attempt that is not idempotent runs to completion: aborting it would leave its outcome unknown.
    if (this->work.request->idempotent()) {
        this->abort({result_code::attempt_cancelled, "the entry gave the attempt up"});
    }
}

void backend_call::on_deadline()
{
    this->abort({result_code::timed_out, "the deadline passed while the backend server ran it"});
}

void backend_call::abort(const error& cause)
{
    if (this->has_ended) {
        return;
    }
    const auto self = this->shared_from_this();
    this->finish({tl::make_unexpected(cause), false, 0});
    // Posted, because `abort` may run inside a callback of the HTTP call.
    this->loop.post([self] { self->call->cancel(); });
}

void backend_call::finish(const backend_call_result& outcome)
{
    if (this->has_ended) {
        return;
    }
    this->has_ended = true;
    const auto self = this->shared_from_this();
    this->deadline_timer.reset();
    if (!outcome.status) {
        auto frame = this->framer.make_failure(outcome.status.error(), outcome.not_run);
        frame.mutable_failure()->set_crash(outcome.crash_id);
        this->work.stream->write(std::move(frame));
    }
    this->work.stream->finish();
    this->done(this->work, outcome);
}

} // namespace tanager
