#include "agent/internal/backend_call.h"

#include "logging/event_log.h"

namespace tanager {

namespace {

constexpr std::size_t high_water_bytes = std::size_t{256} * 1024;
constexpr int first_server_error = 500;

} // namespace

backend_call::backend_call(event_loop& loop,
                           const clock& time,
                           metrics_registry& metrics,
                           dispatched_work work,
                           bool is_model,
                           lost_callback lost,
                           done_callback done)
    : loop(loop),
      time(time),
      metrics(metrics),
      work(std::move(work)),
      is_model(is_model),
      lost(std::move(lost)),
      done(std::move(done)),
      sequencer(this->work.attempt),
      check(answer_shape::opaque)
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
    this->started = this->time.now();
    const auto self = this->shared_from_this();
    this->work.stream->on_cancelled([weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->on_cancelled();
        }
    });
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->work.deadline - this->started);
    this->deadline_timer = this->loop.run_after(remaining, [self] { self->on_deadline(); });
    // A kept connection may die under a request that then may or may not have arrived; a fresh one tells.
    const http_call_options options{remaining + std::chrono::seconds{1}, this->work.request->idempotent()};
    this->call = client.start(backend, this->make_request(), options, self);
    this->work.stream->on_drained([weak = this->weak_from_this()] {
        const auto alive = weak.lock();
        if (alive != nullptr && alive->is_paused) {
            alive->is_paused = false;
            alive->call->resume();
        }
    });
}

void backend_call::on_head(int status, const http_headers& headers)
{
    if (this->is_model && status >= first_server_error) {
        this->break_off({result_code::backend_failed, "status " + std::to_string(status)});
        return;
    }
    this->check = answer_check(this->is_model ? shape_of(headers) : answer_shape::opaque);
    auto frame = this->sequencer.make_head(status);
    const std::string content_type = find_header(headers, "Content-Type");
    if (!content_type.empty()) {
        auto* const header = frame.mutable_head()->add_headers();
        header->set_name("Content-Type");
        header->set_value(content_type);
    }
    this->work.stream->write(std::move(frame));
}

void backend_call::observe_data()
{
    const auto now = this->time.now();
    if (this->is_first_data) {
        this->is_first_data = false;
        this->metrics.observe_duration(
            "tanager_first_token_seconds", this->work.label, now - this->work.received);
    } else {
        this->metrics.observe_duration(
            "tanager_between_tokens_seconds", this->work.label, now - this->last_data);
    }
    this->last_data = now;
}

void backend_call::on_data(std::string_view data)
{
    if (this->has_ended) {
        return;
    }
    const auto checked = this->check.feed(data);
    if (!checked) {
        this->break_off(checked.error());
        return;
    }
    this->observe_data();
    this->work.stream->write(this->sequencer.make_data(data));
    if (!this->is_paused && this->work.stream->queued_bytes() > high_water_bytes) {
        this->is_paused = true;
        this->call->pause();
    }
}

void backend_call::on_end()
{
    if (this->has_ended) {
        return;
    }
    const auto whole = this->check.finish();
    if (whole) {
        this->work.stream->write(this->sequencer.make_end());
        this->metrics.observe_duration(
            "tanager_request_seconds", this->work.label, this->time.now() - this->work.received);
    }
    this->end({whole, false, 0});
}

void backend_call::on_failure(const http_failure& failure)
{
    if (failure.progress == call_progress::not_sent) {
        this->end({fail(result_code::backend_unreachable, failure.cause.detail), true, 0});
        return;
    }
    const auto self = this->shared_from_this();
    this->lost([self, detail = failure.cause.detail](std::uint64_t crash) {
        const auto code = crash == 0 ? result_code::backend_failed : result_code::backend_crashed;
        self->end({fail(code, detail), false, crash});
    });
}

void backend_call::on_cancelled()
{
    // What may not be repeated runs to its end: breaking it off would leave its outcome open.
    if (this->work.request->idempotent()) {
        this->break_off({result_code::attempt_cancelled, "the entry gave the attempt up"});
    }
}

void backend_call::on_deadline()
{
    this->break_off({result_code::timed_out, "the deadline passed while the backend server ran it"});
}

void backend_call::break_off(const error& cause)
{
    if (this->has_ended) {
        return;
    }
    const auto self = this->shared_from_this();
    this->end({tl::make_unexpected(cause), false, 0});
    // Posted, since this may run inside one of the call's own callbacks.
    this->loop.post([self] { self->call->cancel(); });
}

void backend_call::end(const backend_outcome& outcome)
{
    if (this->has_ended) {
        return;
    }
    this->has_ended = true;
    const auto self = this->shared_from_this();
    this->deadline_timer.reset();
    if (!outcome.ended) {
        auto frame = this->sequencer.make_failure(outcome.ended.error(), outcome.not_run);
        frame.mutable_failure()->set_crash(outcome.crash);
        this->work.stream->write(std::move(frame));
    }
    this->work.stream->finish();
    this->done(this->work, outcome);
}

} // namespace tanager
