#include "gateway/internal/hedge_attempt.h"

namespace tanager {

namespace {

constexpr int status_first_success = 200;
constexpr int status_last_success = 299;
constexpr int status_first_failure = 500;
// Below this, an attempt cancelled without a response is not a sign that its server has ended.
constexpr std::chrono::milliseconds min_silence{250};
// Size of the request line and headers of a forwarded request.
constexpr std::size_t estimated_head_bytes = 500;

bool is_success(int status)
{
    return status >= status_first_success && status <= status_last_success;
}

} // namespace

hedge_attempt::hedge_attempt(const forwarding_context& context,
                             const routed_request& request,
                             slot_request requested_slot,
                             slot_grant grant,
                             callbacks listener)
    : context(context),
      request(request),
      requested_slot(std::move(requested_slot)),
      grant(std::move(grant)),
      listener(std::move(listener)),
      body(context.response_buffer_budget)
{
}

void hedge_attempt::start(const attempt_options& attempt,
                          const http_call_options& options,
                          std::chrono::milliseconds connect_timeout)
{
    this->sent_at = this->context.time.now();
    this->waiting_since = this->sent_at;
    this->handler = std::make_shared<detachable_response_handler>(this->weak_from_this());
    auto encoded = this->context.codec.encode_attempt(this->request.exchange->request(), attempt);
    this->context.link.record_sent(encoded.body.size() + estimated_head_bytes);
    this->call = this->context.client.start(this->grant.server->address, encoded, options, this->handler);
    this->connect_timer = this->context.loop.run_after(connect_timeout, [weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->on_connect_timeout();
        }
    });
}

void hedge_attempt::on_connect_timeout()
{
    if (this->call == nullptr || this->call->is_sent()) {
        return;
    }
    this->handler->detach();
    this->call->cancel();
    this->on_attempt_failure(
        {{result_code::connect_failed, "no connection in time"}, call_progress::not_sent});
}

void hedge_attempt::cancel()
{
    if (this->call == nullptr) {
        return;
    }
    if (this->context.time.now() - this->waiting_since >= min_silence) {
        this->context.quarantine.record_silence(*this->grant.server, this->running());
    }
    this->handler->detach();
    this->call->cancel();
    this->end(server_outcome::inconclusive);
}

const backend_server& hedge_attempt::server() const
{
    return *this->grant.server;
}

duration hedge_attempt::elapsed() const
{
    return this->context.time.now() - this->sent_at;
}

running_request hedge_attempt::running() const
{
    return {this->request.request.traits, this->sent_at, false, this->request.request.id};
}

response_owner hedge_attempt::find_owner(int status, const http_headers& headers)
{
    const auto head = this->context.codec.decode_response_head(this->request.request, status, headers);
    this->context.servers.record_leaving(*this->grant.server, head.leaving, answer_kind::hedge, status);
    return head.owner();
}

void hedge_attempt::on_response_head(int status, const http_headers& response_headers)
{
    this->response =
        this->context.codec.decode_response_head(this->request.request, status, response_headers);
    this->execution = judge_execution(this->response);
    this->is_framed_response = is_framed(status, response_headers);
    this->waiting_since = this->context.time.now();
    this->latency = this->elapsed();
    if (!this->response.is_misdirected) {
        this->context.quarantine.record_response(*this->grant.server);
    }
    if (this->execution == execution_state::not_executed) {
        return;
    }
    if (this->execution == execution_state::unknown || !is_success(status) || !this->response.has_digest) {
        // A server that answers with 4xx is sound: the fault is the caller's.
        const bool is_error_of_caller = this->execution == execution_state::executed && !is_success(status) &&
                                        status < status_first_failure;
        this->handler->detach();
        this->call->cancel();
        this->give_up(is_error_of_caller ? server_outcome::inconclusive : server_outcome::failed,
                      this->execution);
        return;
    }
    this->context.servers.record_accepted(this->grant.server->id);
    this->headers = this->context.codec.filter_response_headers(response_headers);
}

void hedge_attempt::on_response_data(std::string_view data)
{
    if (this->execution == execution_state::not_executed) {
        return;
    }
    this->waiting_since = this->context.time.now();
    if (!this->body.append(data)) {
        this->handler->detach();
        this->call->cancel();
        this->give_up(server_outcome::inconclusive, execution_state::executed);
    }
}

void hedge_attempt::on_response_end()
{
    if (this->execution == execution_state::not_executed) {
        if (this->response.is_misdirected) {
            this->context.servers.record_misdirected(*this->grant.server);
        }
        this->give_up(server_outcome::inconclusive, execution_state::not_executed);
        return;
    }
    this->record_completion();
    this->end(server_outcome::answered);
    this->listener.answered({this->response, this->headers, this->body.text(), this->latency});
}

void hedge_attempt::record_completion()
{
    if (this->is_framed_response) {
        this->context.quarantine.record_completion(this->running(), true);
        return;
    }
    this->context.quarantine.record_unframed_completion(*this->grant.server, this->running());
}

void hedge_attempt::on_attempt_failure(const http_failure& failure)
{
    const auto executed = judge_execution(failure.progress);
    if (executed != execution_state::not_executed) {
        if (failure.cause.code == result_code::timed_out) {
            this->context.quarantine.record_silence(*this->grant.server, this->running());
        } else {
            this->context.quarantine.record_lost_connection(*this->grant.server, this->running());
        }
    }
    const bool is_malformed = failure.cause.code == result_code::reply_malformed;
    this->give_up(is_malformed ? server_outcome::failed : server_outcome::unresponsive, executed);
}

void hedge_attempt::give_up(server_outcome outcome, execution_state executed)
{
    this->end(outcome);
    this->listener.failed(executed);
}

void hedge_attempt::end(server_outcome outcome)
{
    this->connect_timer.reset();
    this->call.reset();
    this->context.servers.record_outcome(this->grant.server->id, outcome);
    this->context.scheduler.release_slot(this->requested_slot, this->grant.server->id);
}

} // namespace tanager
