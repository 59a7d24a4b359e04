#include "net/http_client.h"

#include "net/internal/callback_guard.h"
#include "net/internal/http_connection_pool.h"
#include "net/internal/socket_options.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/socket.h>

namespace tanager {

namespace {

constexpr ev_ssize_t max_body_bytes = std::size_t{64} * 1024 * 1024;
// Typical heads have a few hundred bytes.
constexpr ev_ssize_t max_head_bytes = ev_ssize_t{64} * 1024;
// Limits the input that evhttp has not parsed yet. evhttp removes body bytes as they arrive, so only unending
// framing, such as a chunk size, grows to this limit.
constexpr std::size_t max_unparsed_bytes = std::size_t{128} * 1024;
constexpr int total_timeout_factor = 2;
// Over this time the progress of a slow call is measured. It bridges the gaps of a busy link or processor.
constexpr std::chrono::seconds progress_window{1};
constexpr std::int64_t milliseconds_per_second = 1000;
constexpr int max_skipped_responses = 8;
constexpr int status_continue = 100;
constexpr int first_final_status = 200;

evhttp_cmd_type to_command(const std::string& method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "PATCH") {
        return EVHTTP_REQ_PATCH;
    }
    if (method == "HEAD") {
        return EVHTTP_REQ_HEAD;
    }
    return EVHTTP_REQ_GET;
}

// The framing of a call follows from its body alone.
bool is_framing_header(const std::string& name)
{
    return strcasecmp(name.c_str(), "Content-Length") == 0 ||
           strcasecmp(name.c_str(), "Transfer-Encoding") == 0 || strcasecmp(name.c_str(), "Expect") == 0;
}

bool has_usual_body(const std::string& method)
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

http_headers read_headers(evhttp_request* native)
{
    http_headers headers;
    const evkeyvalq* const input = evhttp_request_get_input_headers(native);
    for (const evkeyval* header = input->tqh_first; header != nullptr; header = header->next.tqe_next) {
        headers.push_back({header->key, header->value});
    }
    return headers;
}

class evhttp_call final : public http_call, public std::enable_shared_from_this<evhttp_call> {
public:
    evhttp_call(event_loop& loop,
                http_connection_pool& pool,
                socket_address peer,
                std::shared_ptr<http_response_handler> handler)
        : loop(loop), pool(pool), peer(std::move(peer)), handler(std::move(handler))
    {
    }

    void start(const http_request& request, const http_call_options& options)
    {
        this->self_reference = this->shared_from_this();
        this->used_connection =
            this->pool.take(this->peer,
                            options.reuse_connection ? options.max_idle_time : std::chrono::milliseconds{0},
                            options.request_id);
        this->connection = this->used_connection.native;
        this->carrier = {this->used_connection.number, this->used_connection.requests - 1};
        this->accept_unframed = options.accept_unframed;
        this->reuse_connection = options.reuse_connection;
        this->set_timeout(options.timeout);
        evhttp_connection_set_max_headers_size(this->connection, max_head_bytes);
        evhttp_connection_set_max_body_size(this->connection, max_body_bytes);
        this->output_callback_entry = evbuffer_add_cb(this->output(), &evhttp_call::on_output_changed, this);
        this->input_callback_entry = evbuffer_add_cb(this->input(), &evhttp_call::on_input_changed, this);
        this->is_status_line_checked = false;
        this->limit_total_time(options.timeout * total_timeout_factor, options.min_rate);
        this->command = to_command(request.method);
        this->create_native_request();
        this->fill_request(request);
        if (!this->dispatch_native_request(request.path)) {
            return;
        }
        set_connection_options(bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection)));
    }

    bool is_sent() const override
    {
        return this->sent;
    }

    call_connection connection_used() const override
    {
        return this->carrier;
    }

    void cancel() override
    {
        if (this->done) {
            return;
        }
        this->done = true;
        this->handler.reset();
        // evhttp may be inside a callback for this request, so the request is cancelled later from the loop.
        // An event that is due before that must not send the request, of which no byte may have left so far.
        if (this->native != nullptr) { // else the connection has no descriptor of its own
            shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection)), SHUT_WR);
        }
        this->loop.post([self = this->shared_from_this()] { self->cancel_native_request(); });
    }

    void pause() override
    {
        if (!this->done) {
            bufferevent_disable(evhttp_connection_get_bufferevent(this->connection), EV_READ);
        }
    }

    void resume() override
    {
        if (!this->done) {
            bufferevent_enable(evhttp_connection_get_bufferevent(this->connection), EV_READ);
        }
    }

private:
    // Fails the call in any state of the evhttp request.
    void cancel_with_failure()
    {
        if (this->done) {
            return;
        }
        const auto keep_alive = this->shared_from_this();
        const auto receiver = this->handler;
        const bool never_sent = !this->head_received && !this->sent;
        this->cancel();
        run_guarded("response", [&] { receiver->on_failure(this->describe_failure(never_sent)); });
    }

    void cancel_native_request()
    {
        if (this->native != nullptr) {
            evhttp_cancel_request(std::exchange(this->native, nullptr));
        }
        auto* const ended_connection = this->connection;
        this->release();
        this->pool.discard(ended_connection);
    }

    void create_native_request()
    {
        this->native = evhttp_request_new(&evhttp_call::on_complete, this);
        evhttp_request_set_header_cb(this->native, &evhttp_call::on_header);
        evhttp_request_set_chunked_cb(this->native, &evhttp_call::on_chunk);
        evhttp_request_set_error_cb(this->native, &evhttp_call::on_error);
    }

    // Returns false if the call fails, which it then reports later from the loop.
    bool dispatch_native_request(const std::string& path)
    {
        // evhttp_make_request takes ownership of the request, even if it fails.
        this->is_starting = true;
        const int result = evhttp_make_request(this->connection, this->native, this->command, path.c_str());
        this->is_starting = false;
        // Without a free descriptor, evhttp_make_request returns an error or calls on_complete before it
        // returns.
        if (result == 0 && this->native != nullptr) {
            return true;
        }
        this->native = nullptr;
        this->loop.post([self = this->shared_from_this()] { self->end_with_failure(); });
        return false;
    }

    // Reads another response without sending another request. evhttp reads one response for each request that
    // it has sent, so the request that it writes is taken out of the buffer before it leaves.
    void read_next_response()
    {
        this->is_skipping = false;
        this->head_received = false;
        this->is_status_line_checked = false;
        this->check_status_line_at_input_start();
        this->create_native_request();
        if (!this->dispatch_native_request("/")) {
            return;
        }
        evbuffer_unfreeze(this->output(), 1);
        evbuffer_drain(this->output(), evbuffer_get_length(this->output()));
        evbuffer_freeze(this->output(), 1);
        // The end of the connection must not be noticed before the bytes that came with it; evhttp enables
        // reading once it has nothing left to write.
        bufferevent_disable(evhttp_connection_get_bufferevent(this->connection), EV_READ);
    }

    bool is_connected() const
    {
        return bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection)) >= 0;
    }

    void set_timeout(std::chrono::milliseconds timeout)
    {
        constexpr std::int64_t microseconds_per_millisecond = 1000;
        timeval span{};
        span.tv_sec = timeout.count() / milliseconds_per_second;
        span.tv_usec = (timeout.count() % milliseconds_per_second) * microseconds_per_millisecond;
        evhttp_connection_set_timeout_tv(this->connection, &span);
    }

    void fill_request(const http_request& request)
    {
        evkeyvalq* const headers = evhttp_request_get_output_headers(this->native);
        if (find_header(request.headers, "Host").empty()) {
            evhttp_add_header(headers, "Host", to_text(this->peer).c_str());
        }
        for (const auto& header : request.headers) {
            if (!is_framing_header(header.name)) {
                evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
            }
        }
        // evhttp adds a length for some methods only, but sends the body of any.
        if (!request.body.empty() || has_usual_body(request.method)) {
            evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
        }
        evbuffer_add(
            evhttp_request_get_output_buffer(this->native), request.body.data(), request.body.size());
    }

    void limit_total_time(std::chrono::milliseconds limit, std::size_t min_rate)
    {
        if (min_rate == 0) {
            this->total_timeout_timer = this->loop.run_after(limit, [this] { this->time_out(); });
            return;
        }
        const auto window = std::min<std::chrono::milliseconds>(progress_window, limit);
        this->total_timeout_timer = this->loop.run_after(
            limit - window, [this, window, min_rate] { this->measure_progress(window, min_rate); });
    }

    // Ends the call after `window`, or goes on measuring if it is fast enough.
    void measure_progress(std::chrono::milliseconds window, std::size_t min_rate)
    {
        const auto bytes_before = this->transferred_bytes;
        const auto min_bytes = min_rate * static_cast<std::size_t>(window.count()) / milliseconds_per_second;
        this->total_timeout_timer =
            this->loop.run_after(window, [this, window, min_rate, bytes_before, min_bytes] {
                if (this->transferred_bytes - bytes_before >= min_bytes) {
                    this->measure_progress(window, min_rate);
                } else {
                    this->time_out();
                }
            });
    }

    void time_out()
    {
        this->failure_code = result_code::timed_out;
        this->cancel_with_failure();
    }

    evbuffer* input() const
    {
        return bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection));
    }

    evbuffer* output() const
    {
        return bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection));
    }

    // evhttp fills the output buffer only after the connection is established, so bytes that leave the buffer
    // have been sent to the peer.
    static void on_output_changed(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* self)
    {
        if (info->n_deleted > 0) {
            auto& call = *static_cast<evhttp_call*>(self);
            call.sent = true;
            call.transferred_bytes += info->n_deleted;
        }
    }

    static void on_input_changed(evbuffer* buffer, const evbuffer_cb_info* info, void* self)
    {
        auto& call = *static_cast<evhttp_call*>(self);
        call.received_bytes += info->n_added;
        call.transferred_bytes += info->n_added;
        call.check_status_line_at_input_start();
        if (call.done || call.unparsed_limit_exceeded || evbuffer_get_length(buffer) <= max_unparsed_bytes) {
            return;
        }
        call.unparsed_limit_exceeded = true;
        call.loop.post([alive = call.shared_from_this()] {
            alive->failure_code = result_code::reply_malformed;
            alive->cancel_with_failure();
        });
    }

    // evhttp reads a status with atoi and accepts most of what that returns.
    void check_status_line_at_input_start()
    {
        if (this->done || this->is_status_line_checked) {
            return;
        }
        std::array<char, checked_status_line_bytes> start{};
        const auto length = evbuffer_copyout(this->input(), start.data(), start.size());
        const auto state =
            check_status_line({start.data(), static_cast<std::size_t>(std::max<ev_ssize_t>(length, 0))});
        if (state == status_line_state::incomplete) {
            return;
        }
        this->is_status_line_checked = true;
        this->has_invalid_status_line = state == status_line_state::invalid;
    }

    // evhttp takes other interim responses than 100 for the whole response.
    static int on_header(evhttp_request* request, void* self)
    {
        auto& call = *static_cast<evhttp_call*>(self);
        const auto keep_alive = call.shared_from_this();
        if (call.done) {
            return -1;
        }
        if (call.has_invalid_status_line) {
            call.failure_code = result_code::reply_malformed;
            return -1;
        }
        const int status = evhttp_request_get_response_code(request);
        const auto headers = read_headers(request);
        if (status == status_continue) {
            call.is_status_line_checked = false;
            call.check_status_line_at_input_start();
            return 0; // evhttp reads on
        }
        call.head_received = true;
        const char* const reason = evhttp_request_get_response_code_line(request);
        if (status < first_final_status || is_framing_ambiguous({}, headers) ||
            is_joined_head(reason == nullptr ? "" : reason, headers) ||
            (!is_framed(status, headers) && !call.accept_unframed)) {
            call.failure_code = result_code::reply_malformed;
            return -1;
        }
        return call.receive_head(status, headers);
    }

    // Returns a negative number to end the connection.
    int receive_head(int status, const http_headers& headers)
    {
        const auto receiver = this->handler;
        const bool is_accepted = run_guarded("response", [&] {
            this->owner = receiver->owner_of(status, headers);
            this->is_skipping = this->owner == response_owner::another_call;
            if (!this->is_skipping) {
                receiver->on_head(status, headers);
            }
        });
        if (!is_accepted) {
            this->cancel_with_failure();
            return 0;
        }
        if (this->is_skipping && ++this->skipped_responses > max_skipped_responses) {
            this->failure_code = result_code::reply_malformed;
            return -1;
        }
        return 0;
    }

    static void on_chunk(evhttp_request* request, void* self)
    {
        auto& call = *static_cast<evhttp_call*>(self);
        const auto keep_alive = call.shared_from_this();
        evbuffer* const input = evhttp_request_get_input_buffer(request);
        const std::size_t length = evbuffer_get_length(input);
        if (call.done || call.is_skipping || length == 0) {
            return;
        }
        const auto* const bytes = evbuffer_pullup(input, -1);
        const auto receiver = call.handler; // on_data may cancel the call, which resets call.handler
        const auto* const text = reinterpret_cast<const char*>(bytes); // NOLINT(*-reinterpret-cast)
        const std::string_view data{text, length};
        if (!run_guarded("response", [&] { receiver->on_data(data); })) {
            call.cancel_with_failure();
        }
    }

    static void on_error(evhttp_request_error cause, void* self)
    {
        auto& call = *static_cast<evhttp_call*>(self);
        if (cause == EVREQ_HTTP_TIMEOUT) {
            call.failure_code = result_code::timed_out;
        } else if (cause == EVREQ_HTTP_INVALID_HEADER || cause == EVREQ_HTTP_DATA_TOO_LONG) {
            call.failure_code = result_code::reply_malformed;
        }
    }

    static void on_complete(evhttp_request* request, void* self)
    {
        auto& call = *static_cast<evhttp_call*>(self);
        // evhttp frees the request after this callback.
        call.native = nullptr;
        if (call.done || call.is_starting) {
            return;
        }
        const bool is_complete = request != nullptr && evhttp_request_get_response_code(request) != 0 &&
                                 call.head_received && call.failure_code == result_code::connection_lost;
        if (is_complete && call.is_skipping && call.is_connected()) {
            call.read_next_response();
            return;
        }
        if (!is_complete || call.is_skipping) {
            call.end_with_failure();
            return;
        }
        call.end_with_success();
    }

    void end_with_success()
    {
        const auto keep_alive = this->shared_from_this();
        this->done = true;
        auto* const ended_connection = this->connection;
        const auto receiver = this->handler;
        // Bytes after a complete response belong to no request, so the connection is not reused.
        const bool has_trailing_bytes =
            evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection))) >
            0;
        this->release();
        const bool is_certain = this->owner == response_owner::this_call && this->skipped_responses == 0;
        if (this->reuse_connection && is_certain && !has_trailing_bytes) {
            this->pool.give_back(this->peer, std::move(this->used_connection));
        } else {
            this->pool.discard(ended_connection);
        }
        run_guarded("response", [&] { receiver->on_end(); });
    }

    void end_with_failure()
    {
        const auto keep_alive = this->shared_from_this();
        if (this->done) {
            return;
        }
        this->done = true;
        const bool never_sent = !this->head_received && !this->sent;
        auto* const ended_connection = this->connection;
        const auto receiver = this->handler;
        this->release();
        this->pool.discard(ended_connection);
        run_guarded("response", [&] { receiver->on_failure(this->describe_failure(never_sent)); });
    }

    http_failure describe_failure(bool never_sent) const
    {
        const auto code = never_sent && this->failure_code == result_code::connection_lost
                              ? result_code::connect_failed
                              : this->failure_code;
        const auto progress = never_sent ? call_progress::not_sent : call_progress::maybe_sent;
        auto detail = std::string{name_of(code)} + " at " + to_text(this->peer);
        if (this->received_bytes > 0) {
            detail += " after " + std::to_string(this->received_bytes) + " bytes";
        }
        return {{code, std::move(detail)}, progress, this->received_bytes};
    }

    void release()
    {
        if (this->connection != nullptr) {
            evbuffer_remove_cb_entry(this->output(), this->output_callback_entry);
            evbuffer_remove_cb_entry(this->input(), this->input_callback_entry);
            this->connection = nullptr;
        }
        this->total_timeout_timer.reset();
        this->handler.reset();
        this->self_reference.reset();
    }

    event_loop& loop;
    http_connection_pool& pool;
    socket_address peer;
    std::shared_ptr<http_response_handler> handler;
    client_connection used_connection;
    call_connection carrier;
    evhttp_connection* connection = nullptr; // null once the call has ended
    evhttp_request* native = nullptr;
    evbuffer_cb_entry* output_callback_entry = nullptr;
    evbuffer_cb_entry* input_callback_entry = nullptr;
    std::unique_ptr<loop_timer> total_timeout_timer;
    std::size_t received_bytes = 0;
    std::size_t transferred_bytes = 0; // in both directions
    bool unparsed_limit_exceeded = false;
    bool is_status_line_checked = false; // of the response that is next
    bool has_invalid_status_line = false;
    bool is_starting = false;
    bool reuse_connection = true;
    bool accept_unframed = false;
    bool is_skipping = false; // the current response is that of another call
    int skipped_responses = 0;
    response_owner owner = response_owner::this_call; // of the current response
    evhttp_cmd_type command = EVHTTP_REQ_GET;
    bool head_received = false;
    bool sent = false;
    bool done = false;
    result_code failure_code = result_code::connection_lost;
    std::shared_ptr<evhttp_call> self_reference;
};

// A call that fails without a connection.
class rejected_call final : public http_call, public std::enable_shared_from_this<rejected_call> {
public:
    explicit rejected_call(std::shared_ptr<http_response_handler> handler) : handler(std::move(handler)) {}

    void start(event_loop& loop, const socket_address& peer)
    {
        const error cause{result_code::request_malformed, "not sent to " + to_text(peer)};
        loop.post([self = this->shared_from_this(), cause] {
            if (const auto receiver = std::exchange(self->handler, nullptr)) {
                run_guarded("response", [&] { receiver->on_failure({cause, call_progress::not_sent}); });
            }
        });
    }

    bool is_sent() const override
    {
        return false;
    }

    call_connection connection_used() const override
    {
        return {};
    }

    void cancel() override
    {
        this->handler.reset();
    }

    void pause() override {}
    void resume() override {}

private:
    std::shared_ptr<http_response_handler> handler;
};

class evhttp_client final : public http_client {
public:
    explicit evhttp_client(event_loop& loop) : loop(loop), pool(loop) {}

    std::shared_ptr<http_call> start(const socket_address& peer,
                                     const http_request& request,
                                     const http_call_options& options,
                                     std::shared_ptr<http_response_handler> handler) override
    {
        if (!is_sendable(request)) {
            auto rejected = std::make_shared<rejected_call>(std::move(handler));
            rejected->start(this->loop, peer);
            return rejected;
        }
        auto call = std::make_shared<evhttp_call>(this->loop, this->pool, peer, std::move(handler));
        call->start(request, options);
        return call;
    }

private:
    event_loop& loop;
    http_connection_pool pool;
};

// Collects a response in memory.
class collecting_handler final : public http_response_handler {
public:
    collecting_handler(std::size_t max_bytes,
                       http_client::response_callback callback,
                       http_client::owner_check check)
        : max_bytes(max_bytes), callback(std::move(callback)), check(std::move(check))
    {
    }

    response_owner owner_of(int status, const http_headers& headers) override
    {
        return this->check ? this->check(status, headers) : response_owner::this_call;
    }

    void on_head(int status, const http_headers& headers) override
    {
        this->response.status = status;
        this->response.headers = headers;
        const auto length = parse_length(find_header(headers, "Content-Length"));
        if (length > this->max_bytes) {
            this->abandon("a response of " + std::to_string(*length) + " bytes");
        }
    }

    void set_call(const std::shared_ptr<http_call>& started_call)
    {
        this->call = started_call;
    }

    void on_data(std::string_view data) override
    {
        if (this->response.body.size() + data.size() <= this->max_bytes) {
            this->response.body += data;
            return;
        }
        this->abandon("a response of more than " + std::to_string(this->max_bytes) + " bytes");
    }

    void on_end() override
    {
        this->callback(this->response);
    }

    void on_failure(const http_failure& failure) override
    {
        this->callback(tl::make_unexpected(failure));
    }

private:
    static std::optional<std::uint64_t> parse_length(std::string_view text)
    {
        std::uint64_t length = 0;
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
        return parsed.ec == std::errc{} ? std::optional{length} : std::nullopt;
    }

    void abandon(const std::string& reason)
    {
        if (const auto alive = this->call.lock()) {
            alive->cancel();
        }
        this->on_failure({{result_code::reply_malformed, reason},
                          call_progress::maybe_sent,
                          this->response.body.size(),
                          true});
    }

    std::size_t max_bytes;
    http_client::response_callback callback;
    http_client::owner_check check;
    http_response response;
    std::weak_ptr<http_call> call;
};

} // namespace

std::unique_ptr<http_client> http_client::create(event_loop& loop)
{
    return std::make_unique<evhttp_client>(loop);
}

std::shared_ptr<http_call> http_client::fetch(const socket_address& peer,
                                              const http_request& request,
                                              const http_call_options& options,
                                              response_callback callback,
                                              owner_check owner_of)
{
    const auto collector = std::make_shared<collecting_handler>(
        options.max_collected_bytes, std::move(callback), std::move(owner_of));
    auto call = this->start(peer, request, options, collector);
    collector->set_call(call);
    return call;
}

} // namespace tanager
