#include "gateway/internal/request_forwarder.h"

#include "gateway/internal/hedge_attempt.h"

#include <algorithm>
#include <array>

namespace tanager {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_first_failure = 500;
constexpr int status_first_error = 400;
constexpr std::array statuses_that_promise_no_execution{408, 429, status_unavailable};
constexpr int status_first_success = 200;
constexpr int status_last_success = 299;

// After this many refusals, a KV cache is considered lost.
constexpr std::uint32_t max_kv_cache_refusals = 2;
// Connecting within a site takes a few milliseconds, but a lost SYN is retransmitted only after a second.
constexpr std::chrono::milliseconds connect_timeout{250};
constexpr std::uint32_t max_connect_failures = 3;
// A repeatable request is retried on another server if the first byte takes this many times the latency
// objective.
constexpr int first_byte_timeout_objectives = 3;
constexpr std::chrono::milliseconds min_first_byte_timeout{300};
// A resumable stream without events for this long continues on another server; callers give up after two
// seconds.
constexpr std::chrono::milliseconds stream_idle_timeout{1'000};
// Applies while the engine sends events of other streams, since it is then slow rather than unreachable, and
// moving the stream costs an attempt and another prefill. The rest of the callers' two seconds is for the
// first event of the next engine.
constexpr std::chrono::milliseconds live_engine_stream_idle_timeout{1'600};
// Part of the latency objective that a request may spend in the queue; the server needs the rest.
constexpr double max_queue_time_ratio = 0.4;
// A call outlasts the time limit given to the server by this, so that a response that the server sends at its
// deadline still arrives.
constexpr std::chrono::milliseconds call_timeout_margin{1'000};
// Above this many unsent bytes to a slow caller, reading from the server pauses.
constexpr std::size_t max_unsent_bytes = std::size_t{128} * 1024;
// Events usually have some hundred bytes.
constexpr std::size_t max_event_bytes = std::size_t{256} * 1024;
// A caller that has spent more than this part of the latency objective on its earlier attempts has missed it.
constexpr double missed_objective_ratio = 1.0;
// Below this, a cancelled attempt without a response is not a sign that its server has ended.
constexpr std::chrono::milliseconds min_silence{250};
// Size of the request line and headers of a forwarded request.
constexpr std::size_t estimated_head_bytes = 500;
// Engines preempt requests with higher numbers first. Long outputs lose most by preemption and need little
// prefill.
constexpr std::uint32_t long_output_priority = 3;
constexpr std::uint32_t long_prompt_priority = 5;
// Deadline for the first event, relative to the latency objective. Above 1 since estimates are pessimistic:
// they assume that all pending prompts reported by peers are prefilled first.
constexpr double first_event_deadline_ratio = 1.1;
// Connections idle for longer are not reused. Servers close idle connections after some seconds.
constexpr std::chrono::milliseconds max_connection_idle{4'000};
// A request that may execute only once uses a new connection rather than one that the server may be closing.
constexpr std::chrono::milliseconds max_connection_idle_unrepeatable{700};

// Returns whether a prefill failed although its engine has sent a response.
bool has_answered(const error& prefill_failure)
{
    return prefill_failure.code == result_code::backend_refused ||
           prefill_failure.code == result_code::backend_failed ||
           prefill_failure.code == result_code::backend_answer_foreign;
}

bool is_success(int status)
{
    return status >= status_first_success && status <= status_last_success;
}

} // namespace

request_forwarder::request_forwarder(const forwarding_context& context,
                                     routed_request routed,
                                     std::function<void()> done)
    : context(context),
      routed(std::move(routed)),
      done(std::move(done)),
      log(this->routed.request.id, this->routed.request.traits),
      attempts(this->routed.chosen_route->max_attempts, this->routed.chosen_route->is_repeatable()),
      buffered_body(context.response_buffer_budget)
{
}

request_forwarder::~request_forwarder()
{
    this->context.quarantine.remove_listener(*this);
}

duration request_forwarder::elapsed() const
{
    return this->context.time.now() - this->routed.received;
}

void request_forwarder::start()
{
    this->context.retries.record_request(this->routed.service);
    this->context.quarantine.add_listener(*this);
    if (this->is_hedgeable()) {
        this->context.hedges.record_request(this->routed.chosen_route->name);
    }
    if (this->routed.request.caller_timeout) {
        this->context.caller_timeouts.record(this->routed.chosen_route->name,
                                             *this->routed.request.caller_timeout);
    }
    const auto& prompt = this->routed.request.prompt;
    if (this->routed.is_model && !prompt.has_long_output()) {
        this->context.demand.record_prompt(this->routed.service,
                                           {prompt.prefix_tokens, prompt.suffix_tokens},
                                           this->routed.chosen_route->gap_objective);
    }
    const auto self = this->shared_from_this();
    this->routed.exchange->on_caller_left([weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->on_caller_left();
        }
    });
    this->routed.exchange->on_drained([weak = this->weak_from_this()] {
        const auto alive = weak.lock();
        if (alive != nullptr && alive->call != nullptr) {
            alive->call->resume();
        }
    });
    const auto time_left = std::max(this->routed.deadline - this->context.time.now(), duration{0});
    this->deadline_timer = this->context.loop.run_after(time_left, [self] { self->on_deadline(); });
    this->request_slot();
}

// Applies to short outputs only: long outputs are few, and worth their slot even when late.
bool request_forwarder::has_missed_objective() const
{
    const auto& request = this->routed.request;
    if (!this->routed.is_model || request.prompt.has_long_output() || !request.caller_timeout) {
        return false;
    }
    const auto spent_time = this->context.caller_timeouts.spent_on_earlier_attempts(
        this->routed.chosen_route->name, *request.caller_timeout);
    return spent_time > missed_objective_ratio * this->routed.chosen_route->latency_objective;
}

slot_request request_forwarder::make_slot_request(time_point now) const
{
    const std::chrono::duration<double, std::milli> objective = this->routed.chosen_route->latency_objective;
    const auto max_queue_time = std::chrono::duration_cast<duration>(max_queue_time_ratio * objective);
    const auto latest_start = std::min(this->routed.received + max_queue_time, this->routed.deadline);
    slot_request slot;
    slot.service = this->routed.service;
    slot.is_model = this->routed.is_model;
    slot.prompt = this->routed.request.prompt;
    slot.organisation = this->routed.organisation;
    slot.priority = this->routed.chosen_route->priority;
    if (this->routed.caller && this->routed.caller->priority) {
        slot.priority = *this->routed.caller->priority;
    }
    slot.start_deadline = std::max(latest_start, now);
    slot.first_event_deadline =
        this->routed.received + std::chrono::duration_cast<duration>(first_event_deadline_ratio * objective);
    slot.latency_objective = this->routed.chosen_route->latency_objective;
    slot.gap_objective = this->routed.chosen_route->gap_objective;
    slot.request_bytes = this->routed.exchange->request().body.size() + estimated_head_bytes;
    slot.may_have_executed = this->may_have_executed();
    slot.has_missed_objective = !slot.may_have_executed && this->has_missed_objective();
    slot.is_prefilled = this->unclaimed_kv_cache.has_value();
    slot.allows_separate_prefill =
        this->attempts.may_prefill_and_run() &&
        (!this->attempts.has_prefilled() || this->context.retries.has_retry(this->routed.service));
    slot.tried_server_ids = this->tried_server_ids;
    return slot;
}

// Returns whether a server may have executed part of the request.
bool request_forwarder::may_have_executed() const
{
    return this->attempts.attempts_used() > 0 || this->state == request_state::responding;
}

std::optional<quarantine_verdict> request_forwarder::find_quarantine() const
{
    return this->context.quarantine.find_quarantine(this->routed.request.traits);
}

// Identifies the caller again, since the configuration may have changed, and returns why it is no longer
// admitted.
std::optional<error> request_forwarder::identify_again()
{
    auto caller = this->context.callers.identify(
        this->routed.exchange->request(), *this->routed.chosen_route, this->routed.identified);
    if (!caller) {
        return caller.error();
    }
    this->routed.caller = std::move(*caller);
    this->routed.organisation = this->routed.caller ? this->routed.caller->organisation : std::string{};
    return std::nullopt;
}

// Returns why a request must not be sent to a server. One that may have run goes on: its caller was admitted
// when it came.
std::optional<error> request_forwarder::find_refusal()
{
    const auto refusal = this->identify_again();
    const bool goes_on = this->may_have_executed() && this->routed.caller;
    return goes_on ? std::nullopt : refusal;
}

// Ends a request without an active attempt whose caller is no longer admitted.
void request_forwarder::end_refused(const error& cause)
{
    if (this->may_have_executed()) {
        this->fail_after_execution(cause);
        return;
    }
    this->reject(cause);
}

// Ends a quarantined request that has no active attempt.
void request_forwarder::end_quarantined(const quarantine_verdict& verdict)
{
    if (this->may_have_executed()) {
        this->fail_after_execution(verdict.cause());
        return;
    }
    this->quarantine_left = verdict.left;
    this->reject(verdict.cause());
}

void request_forwarder::on_trait_quarantined()
{
    this->context.loop.post([weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->stop_if_quarantined();
        }
    });
}

// Withdraws a quarantined request from the server before that begins to answer it.
void request_forwarder::stop_if_quarantined()
{
    const bool has_response = this->call != nullptr && this->response.status != 0;
    const auto verdict = this->find_quarantine();
    if (this->state == request_state::finished || has_response || !verdict) {
        return;
    }
    if (this->has_active_call()) {
        this->cancel_active_call();
    } else {
        this->context.scheduler.cancel(this->ticket);
    }
    this->end_quarantined(*verdict);
}

running_request request_forwarder::active_attempt() const
{
    return {this->routed.request.traits, this->attempt_sent_at, false, this->routed.request.id};
}

// Records an active attempt that is cancelled without a response.
void request_forwarder::record_unfinished_attempt()
{
    if (!this->has_active_call() || this->context.time.now() - this->waiting_since < min_silence) {
        return;
    }
    const auto& waited_for = this->prefill != nullptr ? this->grant.prefill_engine : this->server;
    this->context.quarantine.record_silence(*waited_for, this->active_attempt());
}

void request_forwarder::request_slot()
{
    this->state =
        this->state == request_state::responding ? request_state::responding : request_state::queued;
    this->slot_requested_at = this->context.time.now();
    this->requested_slot = this->make_slot_request(this->slot_requested_at);
    if (this->requested_slot.prompt.has_long_output() && this->requested_slot.gap_objective.count() > 0) {
        this->context.servers.record_long_output(this->routed.service, this->requested_slot.gap_objective);
    }
    this->ticket = this->context.scheduler.request_slot(this->requested_slot, this->shared_from_this());
}

void request_forwarder::on_slot_granted(const slot_grant& granted)
{
    this->grant = granted;
    this->server = granted.server;
    this->log.set_server(granted.server->id);
    this->granted_at = this->context.time.now();
    this->queue_time += this->granted_at - this->slot_requested_at;
    // A request may have waited in the socket, unread, until after its caller closed the connection.
    if (this->routed.exchange->has_caller_left()) {
        this->return_grant();
        this->abandon();
        return;
    }
    if (const auto verdict = this->find_quarantine()) {
        this->return_grant();
        this->end_quarantined(*verdict);
        return;
    }
    if (const auto refusal = this->find_refusal()) {
        this->return_grant();
        this->end_refused(*refusal);
        return;
    }
    // A further prefill is an arrival besides the run, for which the retry has paid. Without a retry for it,
    // the decode engine prefills the prompt.
    if (granted.prefill_engine != nullptr) {
        if (!this->attempts.has_prefilled() || this->try_spend_retry("another prefill")) {
            this->start_prefill();
            return;
        }
        this->end_prefill(false);
    }
    this->send(this->unclaimed_kv_cache);
}

attempt_options request_forwarder::make_attempt_options(const backend_server& target) const
{
    const auto time_left = this->routed.deadline - this->context.time.now();
    attempt_options attempt;
    attempt.server_id = target.id;
    attempt.time_left =
        std::max(std::chrono::floor<std::chrono::milliseconds>(time_left), std::chrono::milliseconds{1});
    attempt.last_event_id = this->events.last_event_id();
    if (!attempt.last_event_id) {
        attempt.last_event_id = this->routed.request.last_event_id;
    }
    if (this->routed.caller) {
        attempt.organisation = this->routed.caller->organisation;
    }
    if (this->routed.is_model) {
        attempt.engine_priority =
            this->routed.request.prompt.has_long_output() ? long_output_priority : long_prompt_priority;
    }
    return attempt;
}

http_call_options request_forwarder::make_call_options(const attempt_options& attempt,
                                                       duration max_idle_time) const
{
    http_call_options options;
    options.timeout = attempt.time_left + call_timeout_margin;
    options.accept_unframed = true;
    options.request_id = this->routed.request.id;
    options.max_idle_time = std::chrono::duration_cast<std::chrono::milliseconds>(max_idle_time);
    return options;
}

std::optional<socket_address> request_forwarder::prefix_source_address() const
{
    const auto& source = this->grant.prefix_source;
    const bool is_usable = source != nullptr && this->context.servers.servers().takes_work(source->id);
    return is_usable ? std::optional{source->address} : std::nullopt;
}

// Encodes an attempt and records its bytes as sent on this host's link.
http_request request_forwarder::encode_attempt(const attempt_options& attempt)
{
    auto encoded = this->context.codec.encode_attempt(this->routed.exchange->request(), attempt);
    const auto bytes = encoded.body.size() + estimated_head_bytes;
    this->send_time = this->context.link.estimate_send_delay(bytes).total();
    this->context.link.record_sent(bytes);
    return encoded;
}

// Returns the part of its route's timeout that a long output has used, and 0 for a short output, which is
// late only through queueing.
double request_forwarder::used_timeout_ratio() const
{
    const std::chrono::duration<double> timeout = this->routed.chosen_route->timeout;
    const bool is_counted = this->routed.request.prompt.has_long_output() && timeout.count() > 0;
    return is_counted ? this->elapsed() / timeout : 0;
}

// Returns the time that the server took for the last call: the time since `started_at` without the estimated
// send delay.
duration request_forwarder::server_time_since(time_point started_at) const
{
    return std::max(this->context.time.now() - started_at - this->send_time, duration{0});
}

// Lets the prefill engine process the prompt before the request goes to the decode engine. If that fails, the
// request has not been executed, and the decode engine can still prefill the prompt itself.
void request_forwarder::start_prefill()
{
    if (this->state != request_state::responding) {
        this->state = request_state::prefilling;
    }
    auto attempt = this->make_attempt_options(*this->grant.prefill_engine);
    attempt.prefill_only = true;
    attempt.prefix_source = this->prefix_source_address();
    auto options = this->make_call_options(attempt, max_connection_idle);
    options.max_collected_bytes = prefill_call::max_response_bytes;
    this->attempts.begin_prefill();
    this->waiting_since = this->context.time.now();
    this->attempt_sent_at = this->waiting_since;
    this->log.write_prefill_sent(this->grant, this->queue_time);
    this->prefill = std::make_shared<prefill_call>(this->context.codec,
                                                   this->context.servers,
                                                   this->context.metrics,
                                                   this->grant.prefill_engine,
                                                   this->routed.request);
    this->prefill->start(this->context.client,
                         this->encode_attempt(attempt),
                         options,
                         [weak = this->weak_from_this()](const result<kv_cache_handle>& cache) {
                             if (const auto alive = weak.lock()) {
                                 alive->on_prefill_end(cache);
                             }
                         });
    this->start_idle_timeout();
}

void request_forwarder::on_prefill_end(const result<kv_cache_handle>& cache)
{
    const auto prefill_engine = this->grant.prefill_engine;
    const auto head = this->prefill->response_head();
    if (!cache && head.status != 0) {
        this->log.write_response(
            {head, this->prefill->connection_used(), this->context.time.now() - this->attempt_sent_at},
            judge_execution(head));
    }
    this->prefill.reset();
    this->idle_timer.reset();
    this->end_prefill(cache.has_value());
    if (cache || has_answered(cache.error())) {
        this->context.quarantine.record_response(*prefill_engine);
    } else if (cache.error().code != result_code::connect_failed) {
        this->context.quarantine.record_lost_connection(*prefill_engine, this->active_attempt());
    }
    if (!cache) {
        if (cache.error().code == result_code::backend_refused ||
            cache.error().code == result_code::connect_failed) {
            this->context.servers.forget_prefix(*prefill_engine, this->routed.request.prompt.prefix_key);
            this->attempts.refund_prefill();
            this->place_again(*prefill_engine, cache.error());
            return;
        }
        this->send_without_kv_cache(cache.error().detail);
        return;
    }
    this->unclaimed_kv_cache = *cache;
    this->kv_cache_engine = prefill_engine;
    this->send_after_prefill();
}

// Sends the prompt to its decode engine, or to another one if that has begun to drain or has changed its role
// since it was chosen.
void request_forwarder::send_after_prefill()
{
    if (const auto verdict = this->find_quarantine()) {
        this->context.scheduler.release_slot(this->requested_slot, this->server->id);
        this->end_quarantined(*verdict);
        return;
    }
    if (const auto refusal = this->find_refusal()) {
        this->context.scheduler.release_slot(this->requested_slot, this->server->id);
        this->end_refused(*refusal);
        return;
    }
    const auto listed = this->context.servers.servers().find(this->server->id);
    if (listed != nullptr && listed->role == this->server->role) {
        this->send(this->unclaimed_kv_cache);
        return;
    }
    this->context.scheduler.release_slot(this->requested_slot, this->server->id);
    this->log.write_retry(this->server->id + " left during the prefill", this->attempts.attempts_used());
    this->request_slot();
}

// Places a prompt that its prefill engine has not accepted. Another prefill engine may be in time, while a
// long prefill on the decode engine would hold up the streams there.
void request_forwarder::place_again(const backend_server& prefill_engine, const error& cause)
{
    this->context.metrics.increment_counter("tanager_prompts_not_read_total");
    this->context.scheduler.release_slot(this->requested_slot, this->server->id);
    const bool is_connect_failure = cause.code == result_code::connect_failed;
    this->connect_failures += is_connect_failure ? 1 : 0;
    const bool may_retry = is_connect_failure ? this->connect_failures < max_connect_failures
                                              : this->try_spend_retry(cause.detail);
    if (may_retry) {
        this->log.write_retry(cause.detail, this->attempts.attempts_used());
        this->tried_server_ids.push_back(prefill_engine.id);
        this->request_slot();
        return;
    }
    if (this->may_have_executed()) {
        this->fail_after_execution({result_code::outcome_unknown, cause.detail});
        return;
    }
    this->reject({result_code::backend_refused, cause.detail});
}

// Sends the whole prompt to the decode engine after prefill has failed. The failed call to the prefill engine
// counts as an arrival of the request, so this call is a retry.
void request_forwarder::send_without_kv_cache(const std::string& cause)
{
    this->context.metrics.increment_counter("tanager_prompts_not_read_total");
    this->log.write_retry(cause, this->attempts.attempts_used());
    if (this->attempts.may_run() && this->try_spend_retry(cause)) {
        this->send_after_prefill();
        return;
    }
    this->context.scheduler.release_slot(this->requested_slot, this->server->id);
    if (this->may_have_executed()) {
        this->fail_after_execution({result_code::outcome_unknown, cause});
        return;
    }
    this->reject({result_code::backend_refused, cause});
}

// Releases the prompt's pending prefill tokens. `is_completed` is true if the engine has just finished the
// prefill, whose time is then recorded.
void request_forwarder::end_prefill(bool is_completed)
{
    const auto prefill_server =
        this->grant.prefill_engine == nullptr ? this->grant.server : this->grant.prefill_engine;
    if (is_completed) {
        this->context.servers.record_prefill_time(
            *prefill_server, this->grant.pending_prefill_tokens, this->server_time_since(this->granted_at));
    }
    const auto tokens = std::exchange(this->grant.prefill_tokens, 0);
    this->grant.pending_prefill_tokens = 0;
    this->grant.prefill_engine.reset();
    if (tokens > 0) {
        this->context.scheduler.release_prefill(this->routed.service, prefill_server->id, tokens);
    }
}

void request_forwarder::cancel_prefill()
{
    this->prefill->cancel();
    this->prefill.reset();
    this->idle_timer.reset();
    this->end_prefill(false);
}

// Frees a KV cache that no engine has fetched and that its engine would otherwise keep for seconds. An engine
// that leaves gets no further calls.
void request_forwarder::release_kv_cache()
{
    if (!this->unclaimed_kv_cache) {
        return;
    }
    const auto engine = this->kv_cache_engine;
    if (!this->context.servers.servers().takes_work(engine->id)) {
        this->unclaimed_kv_cache.reset();
        return;
    }
    http_call_options options;
    options.max_collected_bytes = prefill_call::max_response_bytes;
    this->context.client.fetch(
        this->unclaimed_kv_cache->server_address,
        this->context.codec.encode_kv_cache_release(*this->unclaimed_kv_cache),
        options,
        [](const tl::expected<http_response, http_failure>& /*response*/) {
            // If this call fails, the engine drops the cache after its own timeout.
        },
        [&codec = this->context.codec, &servers = this->context.servers, engine](
            int status, const http_headers& headers) {
            // A response with an id is that to a caller's request.
            const auto head = codec.decode_response_head({}, status, headers);
            servers.record_leaving(*engine, head.leaving, answer_kind::cache_release, status);
            return head.owner();
        });
    this->unclaimed_kv_cache.reset();
}

void request_forwarder::on_slot_denied(placement_error reason)
{
    this->queue_time += this->context.time.now() - this->slot_requested_at;
    if (this->may_have_executed()) {
        this->fail_after_execution({result_code::outcome_unknown, "no other server for a second attempt"});
        return;
    }
    this->denial_reason = reason;
    const auto code = reason == placement_error::no_available_server ? result_code::no_server_available
                                                                     : result_code::no_place_in_time;
    this->reject({code, std::string{name_of(code)} + " for " + this->routed.service});
}

void request_forwarder::send(const std::optional<kv_cache_handle>& cache)
{
    const auto& target = *this->server;
    auto attempt = this->make_attempt_options(target);
    attempt.kv_cache = cache;
    if (!cache) {
        attempt.prefix_source = this->prefix_source_address();
    }
    this->decode_started_at = cache ? this->context.time.now() : time_point{};
    if (this->state != request_state::responding) {
        this->state = request_state::sent;
    }
    this->discard_earlier_response();
    this->handler = std::make_shared<detachable_response_handler>(this->weak_from_this());
    const bool repeatable = this->routed.chosen_route->is_repeatable();
    const auto options =
        this->make_call_options(attempt, repeatable ? max_connection_idle : max_connection_idle_unrepeatable);
    this->attempts.begin_run();
    this->waiting_since = this->context.time.now();
    this->attempt_sent_at = this->waiting_since;
    this->log.write_sent(
        this->grant, cache.has_value(), this->queue_time, this->context.servers.total_load(target.id));
    this->call =
        this->context.client.start(target.address, this->encode_attempt(attempt), options, this->handler);
    this->start_connect_timeout();
    this->start_idle_timeout();
    this->start_hedge_timer();
}

// Discards what earlier attempts have left of their responses, however they ended. The caller keeps the
// complete events.
void request_forwarder::discard_earlier_response()
{
    this->response = {};
    this->execution = execution_state::unknown;
    this->is_response_framed = false;
    this->buffered_body.clear();
    static_cast<void>(this->events.take_incomplete_event());
    this->events_of_earlier_attempts = this->events.event_count();
}

void request_forwarder::start_connect_timeout()
{
    this->connect_timer = this->context.loop.run_after(connect_timeout, [weak = this->weak_from_this()] {
        const auto alive = weak.lock();
        if (alive != nullptr && alive->call != nullptr && !alive->call->is_sent()) {
            alive->handler->detach();
            alive->call->cancel();
            alive->on_attempt_failure(
                {{result_code::connect_failed, "no connection in time"}, call_progress::not_sent});
        }
    });
}

void request_forwarder::start_idle_timeout()
{
    const auto objective = this->routed.chosen_route->latency_objective;
    this->set_idle_timeout(this->state == request_state::responding
                               ? stream_idle_timeout
                               : std::max(objective * first_byte_timeout_objectives, min_first_byte_timeout));
}

void request_forwarder::set_idle_timeout(std::chrono::milliseconds timeout)
{
    this->idle_timer = this->context.loop.run_after(timeout, [weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->on_idle_timeout();
        }
    });
}

void request_forwarder::on_idle_timeout()
{
    if (this->state == request_state::finished || !this->has_active_call()) {
        return;
    }
    this->record_unfinished_attempt();
    if (!this->routed.chosen_route->is_repeatable()) {
        return;
    }
    if (this->prefill != nullptr) {
        this->context.servers.record_outcome(this->grant.prefill_engine->id, server_outcome::unresponsive);
        this->cancel_prefill();
        this->send_without_kv_cache("reader is silent");
        return;
    }
    const auto idle_time = this->context.time.now() - this->last_event_at;
    if (this->state == request_state::responding && idle_time < live_engine_stream_idle_timeout &&
        this->context.servers.has_sent_event_since(this->server->id, this->last_event_at)) {
        this->set_idle_timeout(
            std::chrono::ceil<std::chrono::milliseconds>(live_engine_stream_idle_timeout - idle_time));
        return;
    }
    this->context.servers.record_outcome(this->server->id, server_outcome::unresponsive);
    if (this->hedge != nullptr) {
        return; // another server is at work already
    }
    auto other_server_slot = this->make_slot_request(this->context.time.now());
    other_server_slot.tried_server_ids.push_back(this->server->id);
    // A slow response is better than none, so the attempt continues unless another server has a free slot.
    if (!this->may_execute_again() || this->find_quarantine() ||
        !this->context.scheduler.has_free_slot(other_server_slot) || !this->try_spend_retry("silent")) {
        return;
    }
    this->cancel_attempt(server_outcome::inconclusive);
    this->log.write_retry("silent", this->attempts.attempts_used());
    this->tried_server_ids.push_back(this->server->id);
    this->request_slot();
}

response_evidence request_forwarder::make_evidence(const response_info& head) const
{
    return {head, this->call->connection_used(), this->context.time.now() - this->attempt_sent_at};
}

response_owner request_forwarder::find_owner(int status, const http_headers& headers)
{
    const auto head = this->context.codec.decode_response_head(this->routed.request, status, headers);
    this->context.servers.record_leaving(*this->server, head.leaving, answer_kind::response, status);
    if (head.owner() == response_owner::another_call) {
        this->log.write_skipped_response(this->make_evidence(head));
        this->context.metrics.increment_counter("tanager_responses_skipped_total");
    }
    return head.owner();
}

void request_forwarder::on_response_head(int status, const http_headers& headers)
{
    this->response = this->context.codec.decode_response_head(this->routed.request, status, headers);
    this->execution = judge_execution(this->response);
    this->is_response_framed = is_framed(status, headers);
    this->connect_timer.reset();
    this->hedge_timer.reset();
    this->waiting_since = this->context.time.now();
    if (this->is_hedgeable() && this->execution != execution_state::not_executed) {
        this->context.hedges.record_latency(this->routed.chosen_route->name,
                                            this->waiting_since - this->attempt_sent_at);
    }
    if (!this->response.is_misdirected) {
        this->context.quarantine.record_response(*this->server);
    }
    if (this->execution != execution_state::not_executed) {
        this->unclaimed_kv_cache.reset();
    }
    if (this->execution != execution_state::executed || status >= status_first_error) {
        this->log.write_response(this->make_evidence(this->response), this->execution);
    }
    if (this->execution == execution_state::not_executed) {
        return;
    }
    if (this->execution == execution_state::unknown || (is_success(status) && !this->response.has_digest)) {
        const auto code = this->response.matches_request ? result_code::backend_answer_malformed
                                                         : result_code::backend_answer_foreign;
        this->abandon_response({code, std::string{name_of(code)} + " from " + this->server->id});
        return;
    }
    this->context.servers.record_accepted(this->server->id);
    if (this->routed.chosen_route->kind != route_kind::streaming) {
        this->record_began();
    }
    if (this->state != request_state::responding) {
        this->response_headers = this->context.codec.filter_response_headers(headers);
        return;
    }
    if (!this->continues_stream(status, headers)) {
        this->abandon_response(
            {result_code::backend_failed,
             this->server->id + " did not resume the stream: status " + std::to_string(status)});
    }
}

// Returns whether a response can follow the events that the caller already has: the caller takes all that
// follows for the rest of the stream, and its end for the end of the stream.
bool request_forwarder::continues_stream(int status, const http_headers& headers) const
{
    return status == this->streamed_status && media_type_of(headers) == media_type_of(this->response_headers);
}

// Cancels an attempt whose response cannot be forwarded, and retries or fails the request.
void request_forwarder::abandon_response(const error& cause)
{
    this->cancel_attempt(server_outcome::failed);
    if (!this->try_retry(cause, execution_state::unknown)) {
        this->fail_after_execution(cause);
    }
}

void request_forwarder::on_response_data(std::string_view data)
{
    if (this->execution == execution_state::not_executed) {
        return; // the body of a refusal is discarded
    }
    this->waiting_since = this->context.time.now();
    this->context.quarantine.record_response(*this->server);
    if (!this->is_stream()) {
        if (!this->buffered_body.append(data)) {
            this->abandon_response({result_code::backend_answer_malformed,
                                    "answers hold too much memory, one of them from " + this->server->id});
        }
        return;
    }
    const auto events_before = this->events.event_count();
    const auto complete_events = this->events.feed(data);
    if (!complete_events.empty()) {
        this->forward_events(complete_events, this->events.event_count() - events_before);
    }
    if (this->events.pending_bytes() > max_event_bytes && this->call != nullptr) {
        this->abandon_response(
            {result_code::backend_answer_malformed, "an event without end from " + this->server->id});
    }
}

void request_forwarder::forward_events(const std::string& complete_events, std::uint64_t count)
{
    const auto now = this->context.time.now();
    const std::chrono::duration<double> gap_objective = this->routed.chosen_route->gap_objective;
    if (this->state == request_state::responding) {
        this->max_event_gap = std::max(this->max_event_gap, now - this->last_event_at);
        if (gap_objective.count() > 0) {
            this->context.servers.record_event_gap(
                *this->server, (now - this->last_event_at) / gap_objective, this->used_timeout_ratio());
        }
        // The first event after a resumption, or after a pause for the caller, tells nothing about the
        // server.
        const bool is_first_of_attempt =
            this->events.event_count() == this->events_of_earlier_attempts + count;
        if (!is_first_of_attempt && !this->was_paused) {
            this->context.servers.record_event_time(*this->server, count, now - this->last_event_at);
        }
    }
    this->was_paused = false;
    this->last_event_at = now;
    if (this->state != request_state::responding) {
        this->record_began();
        this->state = request_state::responding;
        this->time_to_first_event = this->elapsed();
        if (this->grant.prefill_tokens > 0) {
            this->end_prefill(true);
        }
        this->context.metrics.observe_duration("tanager_first_event_seconds",
                                               {this->routed.service, this->routed.chosen_route->name},
                                               this->time_to_first_event);
        this->streamed_status = this->response.status;
        this->routed.exchange->start(this->response.status, this->response_headers);
    }
    this->context.link.record_sent(complete_events.size());
    this->routed.exchange->write(complete_events);
    this->start_idle_timeout();
    if (this->routed.exchange->unsent_bytes() > max_unsent_bytes && this->call != nullptr) {
        this->was_paused = true;
        this->call->pause();
    }
}

void request_forwarder::on_response_end()
{
    if (this->execution == execution_state::not_executed) {
        this->attempts.refund_run();
        this->handle_refusal();
        return;
    }
    if (this->is_stream_broken_off()) {
        this->on_attempt_failure({{result_code::connection_lost, "stream broken off by " + this->server->id},
                                  call_progress::maybe_sent});
        return;
    }
    this->record_completion();
    if (this->response.status >= status_first_failure) {
        this->handle_server_failure();
        return;
    }
    this->end_attempt(server_outcome::answered);
    if (this->decode_started_at != time_point{}) {
        this->context.demand.record_decode(this->routed.service,
                                           this->server_time_since(this->decode_started_at));
    }
    if (this->state != request_state::responding) {
        this->send_buffered_response(this->buffered_body.text());
        return;
    }
    this->routed.exchange->finish();
    this->finish("complete", this->response.status);
}

bool request_forwarder::is_stream() const
{
    return this->routed.chosen_route->kind == route_kind::streaming && is_success(this->response.status);
}

// The end of a connection is also that of a response without a length or chunks, so the events tell whether a
// stream is complete.
bool request_forwarder::is_stream_broken_off() const
{
    const bool has_no_event = this->events.event_count() == this->events_of_earlier_attempts;
    return this->is_stream() &&
           (this->events.pending_bytes() > 0 || (has_no_event && !this->is_response_framed));
}

// Counts the request for the caller's organisation; once, also if it is retried or resumed.
void request_forwarder::record_began()
{
    if (this->context.usage != nullptr && !this->routed.organisation.empty() &&
        !std::exchange(this->is_counted, true)) {
        this->context.usage->record_began(this->routed.organisation);
    }
}

void request_forwarder::record_completion()
{
    if (this->response.status >= status_first_failure) {
        return;
    }
    const bool is_successful = is_success(this->response.status);
    if (is_successful && !this->is_response_framed) {
        this->context.quarantine.record_unframed_completion(*this->server, this->active_attempt());
        return;
    }
    this->context.quarantine.record_completion(this->active_attempt(), is_successful);
}

void request_forwarder::handle_refusal()
{
    const bool is_misdirected = this->response.is_misdirected;
    if (is_misdirected) {
        this->context.servers.record_misdirected(*this->server);
    }
    this->end_attempt(server_outcome::inconclusive);
    this->kv_cache_refusals += this->unclaimed_kv_cache ? 1 : 0;
    if (this->kv_cache_refusals >= max_kv_cache_refusals) {
        this->release_kv_cache();
    }
    const error cause{result_code::backend_refused,
                      this->server->id + " refused with status " + std::to_string(this->response.status)};
    if (this->try_retry(cause, execution_state::not_executed)) {
        return;
    }
    if (this->may_have_executed()) {
        this->fail_after_execution(cause);
        return;
    }
    this->reject(cause);
}

void request_forwarder::handle_server_failure()
{
    const auto status = this->response.status;
    this->end_attempt(server_outcome::failed);
    const auto kept_headers = this->response_headers;
    const std::string kept_body = this->buffered_body.text();
    const error cause{result_code::backend_failed,
                      this->server->id + " answered with status " + std::to_string(status)};
    if (this->try_retry(cause, execution_state::executed)) {
        if (this->failed_before_hedge) {
            this->failed_before_hedge->response = http_response{status, kept_headers, kept_body};
        }
        return;
    }
    this->response.status = status;
    this->response_headers = kept_headers;
    this->send_buffered_response(kept_body);
}

void request_forwarder::on_attempt_failure(const http_failure& failure)
{
    const auto execution_of_attempt = judge_execution(failure.progress);
    this->log.write_response(this->make_evidence(this->response), execution_of_attempt);
    const bool was_sent = execution_of_attempt != execution_state::not_executed;
    if (!was_sent) {
        this->attempts.refund_run();
        ++this->connect_failures;
    } else if (failure.cause.code == result_code::timed_out) {
        this->context.quarantine.record_silence(*this->server, this->active_attempt());
    } else {
        this->context.quarantine.record_lost_connection(*this->server, this->active_attempt());
    }
    const bool is_malformed = failure.cause.code == result_code::reply_malformed;
    this->end_attempt(is_malformed ? server_outcome::failed : server_outcome::unresponsive);
    if (this->try_retry(failure.cause, execution_of_attempt)) {
        return;
    }
    if (was_sent || this->may_have_executed()) {
        this->fail_after_execution(failure.cause);
        return;
    }
    this->reject(failure.cause);
}

bool request_forwarder::may_execute_again() const
{
    const auto& chosen_route = *this->routed.chosen_route;
    if (!chosen_route.is_repeatable() || !this->attempts.may_run()) {
        return false;
    }
    // A response that has started can be continued only after an event with an id.
    return this->state != request_state::responding || this->events.last_event_id().has_value();
}

// Pays for a further arrival of the request at a server; returns false when the budget is spent.
bool request_forwarder::try_spend_retry(const std::string& cause)
{
    if (this->context.retries.try_spend(this->routed.service)) {
        return true;
    }
    this->context.metrics.increment_counter("tanager_retries_denied_total");
    this->log.write_retry_denied(this->routed.service, cause, this->context.retries);
    return false;
}

bool request_forwarder::try_retry(const error& cause, execution_state attempt)
{
    if (this->hedge != nullptr) {
        this->failed_before_hedge = failed_attempt{cause, attempt, std::nullopt};
        return true;
    }
    const bool attempt_may_have_executed = attempt != execution_state::not_executed;
    const bool is_connect_failure = cause.code == result_code::connect_failed && !attempt_may_have_executed;
    const bool may_retry =
        attempt_may_have_executed || this->may_have_executed() ? this->may_execute_again() : true;
    if (!may_retry || this->connect_failures >= max_connect_failures ||
        this->context.time.now() >= this->routed.deadline || this->find_quarantine()) {
        return false;
    }
    if (!is_connect_failure && !this->try_spend_retry(cause.detail)) {
        return false;
    }
    this->log.write_retry(cause.detail, this->attempts.attempts_used());
    this->context.metrics.increment_counter("tanager_requests_retried_total");
    this->tried_server_ids.push_back(this->server->id);
    this->request_slot();
    return true;
}

// Streams are not hedged: their first events would have to move between two calls.
bool request_forwarder::is_hedgeable() const
{
    return this->routed.chosen_route->kind == route_kind::idempotent && !this->routed.is_model &&
           this->context.hedges.applies_to(this->routed.chosen_route->name);
}

void request_forwarder::start_hedge_timer()
{
    const bool is_first = this->tried_server_ids.empty() && this->hedge == nullptr;
    const auto delay = is_first && this->is_hedgeable()
                           ? this->context.hedges.delay(this->routed.chosen_route->name)
                           : std::nullopt;
    if (!delay) {
        return;
    }
    this->hedge_timer = this->context.loop.run_after(std::chrono::ceil<std::chrono::milliseconds>(*delay),
                                                     [weak = this->weak_from_this()] {
                                                         if (const auto alive = weak.lock()) {
                                                             alive->try_hedge();
                                                         }
                                                     });
}

hedge_situation request_forwarder::make_hedge_situation() const
{
    const auto& service = this->routed.service;
    const auto slots = this->context.scheduler.slot_usage_of(service);
    hedge_situation situation;
    situation.may_run_again = this->may_execute_again();
    situation.total_slots = slots.total_slots;
    situation.used_slots = slots.local_running + slots.peer_running;
    situation.is_work_waiting = this->context.scheduler.is_work_waiting(service);
    situation.retry_balance = this->context.retries.balance(service);
    situation.max_retry_balance = this->context.retries.allowance().max_balance;
    situation.time_left = this->routed.deadline - this->context.time.now();
    situation.usual_latency = this->context.hedges.usual_latency(this->routed.chosen_route->name);
    return situation;
}

// Sends the request to a second server if the first one is slow to answer and the limit allows it.
void request_forwarder::try_hedge()
{
    const bool is_waiting =
        this->state == request_state::sent && this->call != nullptr && this->response.status == 0;
    if (!is_waiting || this->hedge != nullptr || this->find_quarantine() || this->identify_again()) {
        return;
    }
    auto slot = this->make_slot_request(this->context.time.now());
    slot.tried_server_ids.push_back(this->server->id);
    const auto situation = this->make_hedge_situation();
    auto verdict = hedge_verdict::servers_busy;
    if (this->context.scheduler.has_spare_slot(slot)) {
        verdict = this->context.hedges.decide(this->routed.chosen_route->name, situation);
    }
    if (verdict == hedge_verdict::hedge && this->try_spend_retry("hedge")) {
        if (const auto granted = this->context.scheduler.try_take_slot(slot)) {
            this->send_hedge(slot, *granted);
        }
        return;
    }
    this->context.metrics.increment_counter("tanager_hedges_withheld_total",
                                            "reason=\"" + std::string{name_of(verdict)} + "\"");
    this->log.write_hedge_withheld(verdict, situation);
}

void request_forwarder::send_hedge(const slot_request& slot, const slot_grant& granted)
{
    const auto weak = this->weak_from_this();
    this->hedge = std::make_shared<hedge_attempt>(
        this->context,
        this->routed,
        slot,
        granted,
        hedge_attempt::callbacks{[weak](const hedge_attempt::answer& answer) {
                                     if (const auto alive = weak.lock()) {
                                         alive->on_hedge_answered(answer.head, answer.headers, answer.body);
                                     }
                                 },
                                 [weak](execution_state executed) {
                                     if (const auto alive = weak.lock()) {
                                         alive->on_hedge_failed(executed);
                                     }
                                 }});
    this->attempts.begin_run();
    this->context.metrics.increment_counter("tanager_hedges_total");
    this->log.write_hedge_sent(granted.server->id, this->context.time.now() - this->attempt_sent_at);
    const auto attempt = this->make_attempt_options(*granted.server);
    this->hedge->start(attempt, this->make_call_options(attempt, max_connection_idle), connect_timeout);
}

void request_forwarder::on_hedge_answered(const response_info& head,
                                          const http_headers& headers,
                                          const std::string& body)
{
    if (this->state == request_state::finished) {
        return;
    }
    const auto& route_name = this->routed.chosen_route->name;
    if (this->call != nullptr) {
        this->context.hedges.record_latency(route_name, this->context.time.now() - this->attempt_sent_at);
        this->record_unfinished_attempt();
        this->cancel_attempt(server_outcome::inconclusive);
    }
    this->log.write_hedge_ended(this->hedge->server().id, "won", this->hedge->elapsed());
    this->context.metrics.increment_counter("tanager_hedges_ended_total", "outcome=\"won\"");
    this->log.set_server(this->hedge->server().id);
    this->hedge.reset();
    this->failed_before_hedge.reset();
    this->response = head;
    this->response_headers = headers;
    this->record_began();
    this->send_buffered_response(body);
}

void request_forwarder::on_hedge_failed(execution_state executed)
{
    this->tried_server_ids.push_back(this->hedge->server().id);
    this->log.write_hedge_ended(this->hedge->server().id, "failed", this->hedge->elapsed());
    this->context.metrics.increment_counter("tanager_hedges_ended_total", "outcome=\"failed\"");
    this->hedge.reset();
    if (executed == execution_state::not_executed) {
        this->attempts.refund_run();
    }
    const auto failed = std::exchange(this->failed_before_hedge, std::nullopt);
    if (!failed) {
        if (this->call != nullptr) {
            this->start_idle_timeout();
        }
        return;
    }
    if (this->try_retry(failed->cause, failed->execution)) {
        return;
    }
    if (failed->response) {
        this->response.status = failed->response->status;
        this->response_headers = failed->response->headers;
        this->send_buffered_response(failed->response->body);
        return;
    }
    if (failed->execution != execution_state::not_executed || this->may_have_executed()) {
        this->fail_after_execution(failed->cause);
        return;
    }
    this->reject(failed->cause);
}

// Cancels a second attempt that is no longer needed.
void request_forwarder::cancel_hedge()
{
    this->hedge_timer.reset();
    if (this->hedge == nullptr) {
        return;
    }
    const auto ended = std::exchange(this->hedge, nullptr);
    this->log.write_hedge_ended(ended->server().id, "cancelled", ended->elapsed());
    this->context.metrics.increment_counter("tanager_hedges_ended_total", "outcome=\"cancelled\"");
    ended->cancel();
}

void request_forwarder::fail_after_execution(const error& cause)
{
    if (this->state == request_state::responding) {
        this->routed.exchange->abort();
        this->log.write_broken(cause, "cut");
        this->finish("cut", 0);
        return;
    }
    this->fail_with_unknown_outcome(cause);
}

void request_forwarder::fail_with_unknown_outcome(const error& cause)
{
    const int status = cause.code == result_code::timed_out ? status_gateway_timeout : status_bad_gateway;
    this->log.write_broken(cause, "unknown");
    this->routed.exchange->send_response(this->context.codec.encode_error_response(
        this->routed.request, status, cause, std::chrono::milliseconds{0}));
    this->finish("unknown", status);
}

std::chrono::milliseconds request_forwarder::suggest_retry_after(const error& cause)
{
    if (cause.code == result_code::servers_ended_under_request) {
        return std::chrono::ceil<std::chrono::milliseconds>(this->quarantine_left);
    }
    if (this->denial_reason == placement_error::link_busy) {
        return this->context.scheduler.suggest_retry_elsewhere(this->requested_slot);
    }
    return this->context.scheduler.suggest_retry_after(this->routed.service);
}

void request_forwarder::reject(const error& cause)
{
    const auto retry_after = this->suggest_retry_after(cause);
    this->log.write_rejection(cause,
                              {this->routed.organisation,
                               this->routed.configuration_version,
                               this->context.scheduler.slot_usage_of(this->routed.service),
                               this->routed.request.caller_timeout.value_or(std::chrono::milliseconds{0}),
                               this->denial_reason,
                               this->requested_slot.has_missed_objective,
                               this->queue_time,
                               retry_after});
    this->context.metrics.increment_counter("tanager_requests_rejected_total",
                                            "code=\"" + std::to_string(static_cast<int>(cause.code)) + "\"");
    this->routed.exchange->send_response(this->context.codec.encode_error_response(
        this->routed.request, status_unavailable, cause, retry_after));
    this->finish("not-run", status_unavailable);
}

void request_forwarder::send_buffered_response(const std::string& body)
{
    // The server has not stated that it did not execute the request, but callers read that from these
    // statuses.
    const bool is_false_promise =
        std::ranges::find(statuses_that_promise_no_execution, this->response.status) !=
        statuses_that_promise_no_execution.end();
    if (is_false_promise && !this->routed.chosen_route->is_repeatable()) {
        this->fail_with_unknown_outcome(
            {result_code::backend_failed,
             this->server->id + " answered with status " + std::to_string(this->response.status)});
        return;
    }
    this->context.link.record_sent(body.size());
    this->routed.exchange->send_response({this->response.status, this->response_headers, body});
    this->finish("complete", this->response.status);
}

bool request_forwarder::has_active_call() const
{
    return this->call != nullptr || this->prefill != nullptr;
}

// Cancels the active call for a reason unrelated to the server's health.
void request_forwarder::cancel_active_call()
{
    if (this->prefill != nullptr) {
        this->cancel_prefill();
        this->context.scheduler.release_slot(this->requested_slot, this->server->id);
        return;
    }
    this->cancel_attempt(server_outcome::inconclusive);
}

void request_forwarder::end_attempt(server_outcome outcome)
{
    this->connect_timer.reset();
    this->hedge_timer.reset();
    if (this->grant.prefill_tokens > 0) {
        this->end_prefill(false);
    }
    this->idle_timer.reset();
    this->call.reset();
    this->context.servers.record_outcome(this->server->id, outcome);
    this->context.scheduler.release_slot(this->requested_slot, this->server->id);
}

void request_forwarder::cancel_attempt(server_outcome outcome)
{
    this->handler->detach();
    this->call->cancel();
    this->end_attempt(outcome);
}

void request_forwarder::on_deadline()
{
    if (this->state == request_state::finished) {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    const bool was_sent = this->call != nullptr;
    if (this->has_active_call()) {
        this->record_unfinished_attempt();
        this->cancel_active_call();
    } else {
        this->context.scheduler.cancel(this->ticket);
    }
    const error cause{result_code::timed_out, "deadline of the request"};
    if (!was_sent && !this->may_have_executed()) {
        this->reject(cause);
        return;
    }
    this->fail_after_execution(cause);
}

void request_forwarder::on_caller_left()
{
    if (this->state == request_state::finished) {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    if (this->has_active_call()) {
        this->record_unfinished_attempt();
        this->cancel_active_call();
    } else {
        this->context.scheduler.cancel(this->ticket);
    }
    this->abandon();
}

// Releases a granted slot that has not been used.
void request_forwarder::return_grant()
{
    this->end_prefill(false);
    this->context.scheduler.release_slot(this->requested_slot, this->server->id);
}

// Ends a request whose caller has left.
void request_forwarder::abandon()
{
    this->log.write_abandoned(this->elapsed());
    this->routed.exchange->abort();
    this->finish("abandoned", 0);
}

void request_forwarder::record_organisation(std::string_view outcome, int status)
{
    if (!this->routed.caller) {
        return;
    }
    auto counted = request_result::failed;
    if (outcome == "complete" && status < status_first_failure) {
        counted = request_result::served;
    } else if (outcome == "not-run") {
        counted = request_result::refused;
    } else if (outcome == "abandoned") {
        counted = request_result::left;
    }
    this->context.organisations.record(this->routed.organisation, this->routed.chosen_route->name, counted);
}

void request_forwarder::finish(std::string_view outcome, int status)
{
    if (this->state == request_state::finished) {
        return;
    }
    if (this->state == request_state::responding) {
        this->max_event_gap = std::max(this->max_event_gap, this->context.time.now() - this->last_event_at);
    }
    this->state = request_state::finished;
    this->context.quarantine.remove_listener(*this);
    this->cancel_hedge();
    this->deadline_timer.reset();
    this->release_kv_cache();
    this->context.metrics.observe_duration(
        "tanager_request_seconds", {this->routed.service, this->routed.chosen_route->name}, this->elapsed());
    this->context.metrics.increment_counter("tanager_requests_finished_total",
                                            "outcome=\"" + std::string{outcome} + "\"");
    this->record_organisation(outcome, status);
    this->log.write_end(
        {this->routed.chosen_route->name,
         this->routed.organisation,
         this->routed.configuration_version,
         std::string{outcome},
         status,
         this->attempts.attempts_used(),
         this->queue_time,
         this->time_to_first_event,
         this->elapsed(),
         this->routed.request.prompt.max_output_tokens,
         this->events.event_count(),
         this->max_event_gap,
         this->server == nullptr ? load_counts{} : this->context.servers.total_load(this->server->id)});
    const auto finished = std::exchange(this->done, nullptr);
    finished();
}

} // namespace tanager
