#include "gateway/internal/request_forwarder.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_first_failure = 500;
constexpr int status_first_success = 200;
constexpr int status_last_success = 299;

// A KV cache that was refused this often is taken to be gone.
constexpr std::uint32_t most_refusals_of_cache = 2;
// A connection inside a site is made within some milliseconds; a lost opening packet is sent again after a
// second.
constexpr std::chrono::milliseconds connect_patience{250};
constexpr std::uint32_t most_connect_failures = 3;
// A repeatable request goes elsewhere when its first bytes take this many times the objective.
constexpr int silent_objectives = 3;
constexpr std::chrono::milliseconds shortest_silence{300};
// A resumable stream goes on elsewhere after this pause; callers give a stream up after two seconds.
constexpr std::chrono::milliseconds stalled_stream{1'000};
// An engine that sends to other streams meanwhile is slow and not gone. Moving a stream costs an attempt and
// another reading, so it gets longer; what is left is for the next engine's first event.
constexpr std::chrono::milliseconds stalled_stream_of_live_engine{1'600};
// Waiting may use up this part of the objective; the rest is for the server's own work.
constexpr double waiting_share = 0.4;
// A server gets a little less than the caller's time, so that its own answer at the deadline still arrives.
constexpr std::chrono::milliseconds call_slack{1'000};
// Bytes for a slow caller above which the server is not read from.
constexpr std::size_t unsent_bound = std::size_t{128} * 1024;
// Events are some hundred bytes.
constexpr std::size_t longest_event = std::size_t{256} * 1024;
// A caller that has spent this part of the objective on earlier attempts has lost it.
constexpr double lost_share = 1.0;
// The head of a request as it is sent on.
constexpr std::size_t typical_head_bytes = 500;
// An engine preempts what is less urgent. A long output has the most to lose from that, and takes little
// reading.
constexpr std::uint32_t long_output_priority = 3;
constexpr std::uint32_t long_prompt_priority = 5;
// The first event is planned for this part of the objective. Plans are on the slow side: they take every
// prompt that the peers have reported to be read first.
constexpr double due_share = 1.1;
// A server that still answers keeps its connection at least this long (their idle bounds are seconds).
constexpr std::chrono::milliseconds repeatable_idle{4'000};
// A request that may run once only prefers a new connection to one that the server may be closing.
constexpr std::chrono::milliseconds single_run_idle{700};

bool is_success(int status)
{
    return status >= status_first_success && status <= status_last_success;
}

} // namespace

forward_run::forward_run(const forward_context& context, routed_request routed, std::function<void()> done)
    : context(context),
      routed(std::move(routed)),
      done(std::move(done)),
      log(this->routed.request.id),
      attempts(this->routed.chosen_route->max_attempts, this->routed.chosen_route->is_repeatable()),
      collected(context.answer_bytes)
{
}

duration forward_run::elapsed() const
{
    return this->context.time.now() - this->routed.received;
}

void forward_run::start()
{
    this->context.retries.record_request(this->routed.service);
    if (this->routed.request.patience) {
        this->context.patience.record(this->routed.chosen_route->name, *this->routed.request.patience);
    }
    const auto& prompt = this->routed.request.prompt;
    if (this->routed.is_model && !prompt.has_long_output()) {
        this->context.demand.record_prompt(this->routed.service, prompt.suffix_tokens);
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
    const auto left = std::max(this->routed.deadline - this->context.time.now(), duration{0});
    this->deadline_timer = this->context.loop.run_after(left, [self] { self->on_deadline(); });
    this->seek_place();
}

// Only short prompts are held back: long outputs are few, and late ones still worth their place.
bool forward_run::has_lost_objective() const
{
    const auto& request = this->routed.request;
    if (!this->routed.is_model || request.prompt.has_long_output() || !request.patience) {
        return false;
    }
    const auto spent =
        this->context.patience.spent_on_earlier_attempts(this->routed.chosen_route->name, *request.patience);
    return spent > lost_share * this->routed.chosen_route->latency_objective;
}

place_request forward_run::make_place_request(time_point now) const
{
    const std::chrono::duration<double, std::milli> objective = this->routed.chosen_route->latency_objective;
    const auto patience = std::chrono::duration_cast<duration>(waiting_share * objective);
    const auto latest_start = std::min(this->routed.received + patience, this->routed.deadline);
    place_request wanted;
    wanted.service = this->routed.service;
    wanted.is_model = this->routed.is_model;
    wanted.prompt = this->routed.request.prompt;
    wanted.priority = this->routed.chosen_route->priority;
    wanted.latest_start = std::max(latest_start, now);
    wanted.due = this->routed.received + std::chrono::duration_cast<duration>(due_share * objective);
    wanted.bytes = this->routed.exchange->request().body.size() + typical_head_bytes;
    wanted.has_begun = this->has_begun();
    wanted.is_late = !wanted.has_begun && this->has_lost_objective();
    wanted.is_read = this->untaken_cache.has_value();
    wanted.may_be_read_apart = this->attempts.may_prefill_and_run();
    wanted.tried = this->tried;
    return wanted;
}

// Returns whether a server may have run a part of it.
bool forward_run::has_begun() const
{
    return this->attempts.attempts_used() > 0 || this->state == run_state::answering;
}

void forward_run::seek_place()
{
    this->state = this->state == run_state::answering ? run_state::answering : run_state::waiting;
    this->asked = this->context.time.now();
    this->wanted = this->make_place_request(this->asked);
    this->ticket = this->context.desk.ask(this->wanted, this->shared_from_this());
}

void forward_run::on_place(const granted_place& granted)
{
    this->place = granted;
    this->server = granted.server;
    this->log.use_server(granted.server->id);
    this->reading_since = this->context.time.now();
    this->waited += this->reading_since - this->asked;
    if (granted.reader != nullptr) {
        this->read_prompt();
        return;
    }
    this->send(this->untaken_cache);
}

attempt_order forward_run::make_order(const backend_server& target) const
{
    const auto left = this->routed.deadline - this->context.time.now();
    attempt_order order;
    order.server_id = target.id;
    order.time_left =
        std::max(std::chrono::floor<std::chrono::milliseconds>(left), std::chrono::milliseconds{1});
    order.resume_after = this->events.last_event_id();
    if (!order.resume_after) {
        order.resume_after = this->routed.request.resume_after;
    }
    if (this->routed.is_model) {
        order.engine_priority =
            this->routed.request.prompt.has_long_output() ? long_output_priority : long_prompt_priority;
    }
    return order;
}

// Encodes a call, and counts its bytes as handed to this host's link.
http_request forward_run::encode_for(const attempt_order& order)
{
    auto encoded = this->context.codec.encode(this->routed.exchange->request(), order);
    const auto bytes = encoded.body.size() + typical_head_bytes;
    this->sending = this->context.link.expect(bytes).total();
    this->context.link.record(bytes);
    return encoded;
}

// Returns the share of its route's time that a long output has used; a short one is only late by waiting.
double forward_run::time_used() const
{
    const std::chrono::duration<double> whole = this->routed.chosen_route->timeout;
    const bool is_counted = this->routed.request.prompt.has_long_output() && whole.count() > 0;
    return is_counted ? this->elapsed() / whole : 0;
}

// Returns what a server took for the last call, without the time that the call needed to leave this host.
duration forward_run::time_since(time_point began) const
{
    return std::max(this->context.time.now() - began - this->sending, duration{0});
}

// The prompt is read by another engine than the one that generates. Whatever goes wrong here, the request has
// not run, and the generating engine can still read the prompt itself.
void forward_run::read_prompt()
{
    if (this->state != run_state::answering) {
        this->state = run_state::reading;
    }
    auto order = this->make_order(*this->place.reader);
    order.only_read = true;
    http_call_options options{order.time_left + call_slack, true, true, repeatable_idle};
    this->attempts.begin_prefill();
    this->log.write_reading(this->place, this->waited);
    this->reading = std::make_shared<prompt_reading>(
        this->context.codec, this->context.pool, this->place.reader, this->routed.request);
    this->reading->start(this->context.client,
                         this->encode_for(order),
                         options,
                         [weak = this->weak_from_this()](const result<cache_handle>& cache) {
                             if (const auto alive = weak.lock()) {
                                 alive->on_prompt_read(cache);
                             }
                         });
    this->watch_silence();
}

void forward_run::on_prompt_read(const result<cache_handle>& cache)
{
    this->reading.reset();
    this->silence_timer.reset();
    this->end_reading(cache.has_value());
    if (!cache) {
        if (cache.error().code == result_code::backend_refused ||
            cache.error().code == result_code::connect_failed) {
            this->attempts.refund_prefill();
        }
        this->send_unread(cache.error().detail);
        return;
    }
    this->untaken_cache = *cache;
    this->send(*cache);
}

// The generating engine gets the prompt itself. A call to a reader that came to nothing counts as an arrival,
// so this one is a retry.
void forward_run::send_unread(const std::string& cause)
{
    this->context.metrics.count("tanager_prompts_not_read_total");
    this->log.write_retry(cause, this->attempts.attempts_used());
    if (this->attempts.may_run() && this->context.retries.try_spend(this->routed.service)) {
        this->send({});
        return;
    }
    this->context.desk.release(this->wanted, this->server->id);
    if (this->has_begun()) {
        this->settle_broken({result_code::outcome_unknown, cause});
        return;
    }
    this->reject({result_code::backend_refused, cause});
}

// Takes the prompt off the engine that was to read it; `is_measured` when it has just done so.
void forward_run::end_reading(bool is_measured)
{
    const auto reader = this->place.reader == nullptr ? this->place.server : this->place.reader;
    if (is_measured) {
        this->context.pool.record_reading(
            *reader, this->place.tokens_before, this->time_since(this->reading_since));
    }
    const auto tokens = std::exchange(this->place.unread_tokens, 0);
    this->place.tokens_before = 0;
    this->place.reader.reset();
    if (tokens > 0) {
        this->context.desk.release_reading(this->routed.service, reader->id, tokens);
    }
}

void forward_run::break_reading()
{
    this->reading->cancel();
    this->reading.reset();
    this->silence_timer.reset();
    this->end_reading(false);
}

// Frees a KV cache that its engine would otherwise keep for seconds.
void forward_run::release_cache()
{
    if (!this->untaken_cache) {
        return;
    }
    this->context.client.fetch(this->untaken_cache->holder,
                               this->context.codec.encode_cache_release(*this->untaken_cache),
                               {},
                               [](const tl::expected<http_reply, http_failure>& /*reply*/) {
                                   // Its engine drops it after its own time when this was lost.
                               });
    this->untaken_cache.reset();
}

void forward_run::on_no_place(placement_error miss)
{
    this->waited += this->context.time.now() - this->asked;
    if (this->has_begun()) {
        this->settle_broken({result_code::outcome_unknown, "no other server for a second attempt"});
        return;
    }
    const auto code = miss == placement_error::no_available_server ? result_code::no_server_available
                                                                   : result_code::no_place_in_time;
    this->reject({code, std::string{name_of(code)} + " for " + this->routed.service});
}

void forward_run::send(const std::optional<cache_handle>& cache)
{
    const auto& target = *this->server;
    auto order = this->make_order(target);
    order.cache = cache;
    this->generating_since = cache ? this->context.time.now() : time_point{};
    if (this->state != run_state::answering) {
        this->state = run_state::sent;
    }
    this->head = {};
    this->collected.clear();
    this->handler = std::make_shared<attempt_handler>(this->weak_from_this());
    const bool repeatable = this->routed.chosen_route->is_repeatable();
    const http_call_options options{
        order.time_left + call_slack, true, true, repeatable ? repeatable_idle : single_run_idle};
    this->attempts.begin_run();
    this->log.write_sent(this->place, cache.has_value(), this->waited, this->context.pool.load_of(target.id));
    this->call = this->context.client.start(target.address, this->encode_for(order), options, this->handler);
    this->watch_connecting();
    this->watch_silence();
}

void forward_run::watch_connecting()
{
    this->connect_timer = this->context.loop.run_after(connect_patience, [weak = this->weak_from_this()] {
        const auto alive = weak.lock();
        if (alive != nullptr && alive->call != nullptr && !alive->call->is_sent()) {
            alive->handler->detach();
            alive->call->cancel();
            alive->on_attempt_failure(
                {{result_code::connect_failed, "no connection in time"}, call_progress::not_sent});
        }
    });
}

void forward_run::watch_silence()
{
    const auto objective = this->routed.chosen_route->latency_objective;
    this->check_silence_after(this->state == run_state::answering
                                  ? stalled_stream
                                  : std::max(objective * silent_objectives, shortest_silence));
}

void forward_run::check_silence_after(std::chrono::milliseconds bound)
{
    if (!this->routed.chosen_route->is_repeatable()) {
        return;
    }
    this->silence_timer = this->context.loop.run_after(bound, [weak = this->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            alive->on_silence();
        }
    });
}

void forward_run::on_silence()
{
    if (this->state == run_state::finished || !this->is_under_way()) {
        return;
    }
    if (this->reading != nullptr) {
        this->context.pool.record(this->place.reader->id, server_outcome::unresponsive);
        this->break_reading();
        this->send_unread("reader is silent");
        return;
    }
    const auto stalled = this->context.time.now() - this->last_event;
    if (this->state == run_state::answering && stalled < stalled_stream_of_live_engine &&
        this->context.pool.has_sent_since(this->server->id, this->last_event)) {
        this->check_silence_after(
            std::chrono::ceil<std::chrono::milliseconds>(stalled_stream_of_live_engine - stalled));
        return;
    }
    this->context.pool.record(this->server->id, server_outcome::unresponsive);
    auto elsewhere = this->make_place_request(this->context.time.now());
    elsewhere.tried.push_back(this->server->id);
    // A slow answer is worth more than none, so the request stays where it is unless another server can take
    // it.
    if (!this->may_go_on_elsewhere() || !this->context.desk.has_place(elsewhere) ||
        !this->context.retries.try_spend(this->routed.service)) {
        return;
    }
    this->break_attempt(server_outcome::inconclusive);
    this->log.write_retry("silent", this->attempts.attempts_used());
    this->tried.push_back(this->server->id);
    this->seek_place();
}

void forward_run::on_answer_head(int status, const http_headers& headers)
{
    this->head = this->context.codec.decode_answer(this->routed.request, status, headers);
    this->connect_timer.reset();
    if (!this->head.not_run) {
        this->untaken_cache.reset();
    }
    if (this->head.not_run) {
        return;
    }
    if (!this->head.is_own || (is_success(status) && !this->head.is_signed)) {
        const auto code =
            this->head.is_own ? result_code::backend_answer_malformed : result_code::backend_answer_foreign;
        this->give_up_answer({code, std::string{name_of(code)} + " from " + this->server->id});
        return;
    }
    if (this->state != run_state::answering) {
        this->answer_headers = this->context.codec.answer_headers(headers);
    }
}

// Turns away from an answer that cannot be passed on.
void forward_run::give_up_answer(const error& cause)
{
    this->break_attempt(server_outcome::failed);
    if (!this->try_again(cause, true)) {
        this->settle_broken(cause);
    }
}

void forward_run::on_answer_data(std::string_view data)
{
    if (this->head.not_run) {
        return; // a refusal's body goes nowhere
    }
    const bool is_stream =
        this->routed.chosen_route->kind == route_kind::streaming && is_success(this->head.status);
    if (!is_stream) {
        if (!this->collected.append(data)) {
            this->give_up_answer({result_code::backend_answer_malformed,
                                  "answers hold too much memory, one of them from " + this->server->id});
        }
        return;
    }
    const auto whole = this->events.feed(data);
    if (!whole.empty()) {
        this->forward_events(whole);
    }
    if (this->events.pending_bytes() > longest_event && this->call != nullptr) {
        this->give_up_answer(
            {result_code::backend_answer_malformed, "an event without end from " + this->server->id});
    }
}

void forward_run::forward_events(const std::string& whole)
{
    const auto now = this->context.time.now();
    const std::chrono::duration<double> allowed = this->routed.chosen_route->gap_objective;
    if (this->state == run_state::answering) {
        this->longest_pause = std::max(this->longest_pause, now - this->last_event);
        if (allowed.count() > 0) {
            this->context.pool.record_pause(
                *this->server, (now - this->last_event) / allowed, this->time_used());
        }
    }
    this->last_event = now;
    if (this->state != run_state::answering) {
        this->state = run_state::answering;
        this->first_event = this->elapsed();
        if (this->place.unread_tokens > 0) {
            this->end_reading(true);
        }
        this->context.metrics.observe("tanager_first_event_seconds",
                                      {this->routed.service, this->routed.chosen_route->name},
                                      this->first_event);
        this->routed.exchange->start(this->head.status, this->answer_headers);
    }
    this->context.link.record(whole.size());
    this->routed.exchange->write(whole);
    this->watch_silence();
    if (this->routed.exchange->unsent_bytes() > unsent_bound && this->call != nullptr) {
        this->call->pause();
    }
}

void forward_run::on_answer_end()
{
    if (this->head.not_run) {
        this->attempts.refund_run();
        this->settle_refusal();
        return;
    }
    if (this->head.status >= status_first_failure && this->state != run_state::answering) {
        this->settle_server_failure();
        return;
    }
    this->end_attempt(server_outcome::answered);
    if (this->generating_since != time_point{}) {
        this->context.demand.record_decode(this->routed.service, this->time_since(this->generating_since));
    }
    if (this->state != run_state::answering) {
        this->deliver_whole(this->collected.text());
        return;
    }
    this->routed.exchange->write(this->events.take_incomplete_event());
    this->routed.exchange->finish();
    this->finish("complete", this->head.status);
}

void forward_run::settle_refusal()
{
    const bool is_leaving = this->head.other_server;
    if (is_leaving) {
        this->context.pool.list().mark_draining(this->server->id);
    }
    this->end_attempt(server_outcome::inconclusive);
    this->refusals_of_cache += this->untaken_cache ? 1 : 0;
    if (this->refusals_of_cache >= most_refusals_of_cache) {
        this->release_cache();
    }
    const error cause{result_code::backend_refused,
                      this->server->id + " refused with status " + std::to_string(this->head.status)};
    if (this->try_again(cause, false)) {
        return;
    }
    if (this->has_begun()) {
        this->settle_broken(cause);
        return;
    }
    this->reject(cause);
}

void forward_run::settle_server_failure()
{
    const auto status = this->head.status;
    this->end_attempt(server_outcome::failed);
    const auto kept_headers = this->answer_headers;
    const std::string kept_body = this->collected.text();
    const error cause{result_code::backend_failed,
                      this->server->id + " answered with status " + std::to_string(status)};
    if (this->try_again(cause, true)) {
        return;
    }
    this->head.status = status;
    this->answer_headers = kept_headers;
    this->deliver_whole(kept_body);
}

void forward_run::on_attempt_failure(const http_failure& failure)
{
    const bool was_sent = failure.progress == call_progress::maybe_sent;
    if (!was_sent) {
        this->attempts.refund_run();
        ++this->connect_failures;
    }
    const bool is_malformed = failure.cause.code == result_code::reply_malformed;
    this->end_attempt(is_malformed ? server_outcome::failed : server_outcome::unresponsive);
    if (this->try_again(failure.cause, was_sent)) {
        return;
    }
    if (was_sent || this->has_begun()) {
        this->settle_broken(failure.cause);
        return;
    }
    this->reject(failure.cause);
}

bool forward_run::may_go_on_elsewhere() const
{
    const auto& chosen_route = *this->routed.chosen_route;
    if (!chosen_route.is_repeatable() || !this->attempts.may_run()) {
        return false;
    }
    // What was delivered can only be continued behind an event that has a number.
    return this->state != run_state::answering || this->events.last_event_id().has_value();
}

bool forward_run::try_again(const error& cause, bool may_have_run)
{
    const bool is_connect_failure = cause.code == result_code::connect_failed && !may_have_run;
    const bool may_run_again = may_have_run || this->has_begun() ? this->may_go_on_elsewhere() : true;
    if (!may_run_again || this->connect_failures >= most_connect_failures ||
        this->context.time.now() >= this->routed.deadline) {
        return false;
    }
    if (!is_connect_failure && !this->context.retries.try_spend(this->routed.service)) {
        return false;
    }
    this->log.write_retry(cause.detail, this->attempts.attempts_used());
    this->context.metrics.count("tanager_requests_retried_total");
    this->tried.push_back(this->server->id);
    static_cast<void>(this->events.take_incomplete_event());
    this->seek_place();
    return true;
}

void forward_run::settle_broken(const error& cause)
{
    if (this->state == run_state::answering) {
        this->routed.exchange->abort();
        this->log.write_broken(cause, "cut");
        this->finish("cut", 0);
        return;
    }
    this->fail_run(cause);
}

void forward_run::fail_run(const error& cause)
{
    const int status = cause.code == result_code::timed_out ? status_gateway_timeout : status_bad_gateway;
    this->log.write_broken(cause, "unknown");
    this->routed.exchange->reply(this->context.codec.encode_failure(
        this->routed.request, status, cause, std::chrono::milliseconds{0}));
    this->finish("unknown", status);
}

void forward_run::reject(const error& cause)
{
    const auto retry_after = this->context.desk.advise_return(this->routed.service);
    this->log.write_rejection(cause,
                              {this->routed.configuration_version,
                               this->context.desk.use_of(this->routed.service),
                               this->routed.request.patience.value_or(std::chrono::milliseconds{0}),
                               this->wanted.is_late,
                               this->waited,
                               retry_after});
    this->context.metrics.count("tanager_requests_rejected_total",
                                "code=\"" + std::to_string(static_cast<int>(cause.code)) + "\"");
    this->routed.exchange->reply(
        this->context.codec.encode_failure(this->routed.request, status_unavailable, cause, retry_after));
    this->finish("not-run", status_unavailable);
}

void forward_run::deliver_whole(const std::string& body)
{
    this->context.link.record(body.size());
    this->routed.exchange->reply({this->head.status, this->answer_headers, body});
    this->finish("complete", this->head.status);
}

bool forward_run::is_under_way() const
{
    return this->call != nullptr || this->reading != nullptr;
}

// Breaks off whatever is under way, for reasons that say nothing of the server.
void forward_run::break_off()
{
    if (this->reading != nullptr) {
        this->break_reading();
        this->context.desk.release(this->wanted, this->server->id);
        return;
    }
    this->break_attempt(server_outcome::inconclusive);
}

void forward_run::end_attempt(server_outcome sign)
{
    this->connect_timer.reset();
    if (this->place.unread_tokens > 0) {
        this->end_reading(false);
    }
    this->silence_timer.reset();
    this->call.reset();
    this->context.pool.record(this->server->id, sign);
    this->context.desk.release(this->wanted, this->server->id);
}

void forward_run::break_attempt(server_outcome sign)
{
    this->handler->detach();
    this->call->cancel();
    this->end_attempt(sign);
}

void forward_run::on_deadline()
{
    if (this->state == run_state::finished) {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    const bool was_sent = this->call != nullptr;
    if (this->is_under_way()) {
        this->break_off();
    } else {
        this->context.desk.withdraw(this->ticket);
    }
    const error cause{result_code::timed_out, "deadline of the request"};
    if (!was_sent && !this->has_begun()) {
        this->reject(cause);
        return;
    }
    this->settle_broken(cause);
}

void forward_run::on_caller_left()
{
    if (this->state == run_state::finished) {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    if (this->is_under_way()) {
        this->break_off();
    } else {
        this->context.desk.withdraw(this->ticket);
    }
    this->log.write_abandoned(this->elapsed());
    this->routed.exchange->abort();
    this->finish("abandoned", 0);
}

void forward_run::finish(std::string_view outcome, int status)
{
    if (this->state == run_state::finished) {
        return;
    }
    if (this->state == run_state::answering) {
        this->longest_pause = std::max(this->longest_pause, this->context.time.now() - this->last_event);
    }
    this->state = run_state::finished;
    this->deadline_timer.reset();
    this->release_cache();
    this->context.metrics.observe(
        "tanager_request_seconds", {this->routed.service, this->routed.chosen_route->name}, this->elapsed());
    this->context.metrics.count("tanager_requests_finished_total",
                                "outcome=\"" + std::string{outcome} + "\"");
    this->log.write_end(
        {this->routed.chosen_route->name,
         this->routed.configuration_version,
         std::string{outcome},
         status,
         this->attempts.attempts_used(),
         this->waited,
         this->first_event,
         this->elapsed(),
         this->routed.request.prompt.max_output_tokens,
         this->events.event_count(),
         this->longest_pause,
         this->server == nullptr ? own_load{} : this->context.pool.load_of(this->server->id)});
    const auto finished = std::exchange(this->done, nullptr);
    finished();
}

} // namespace tanager
