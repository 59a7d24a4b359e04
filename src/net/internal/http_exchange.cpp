#include "net/internal/evhttp_exchange.h"

#include "net/internal/callback_guard.h"
#include "net/internal/socket_options.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace tanager {

namespace {

constexpr std::size_t low_water_bytes = std::size_t{16} * 1024;

std::string method_name(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

} // namespace

evhttp_exchange::evhttp_exchange(event_loop& loop,
                                 evhttp_request* native,
                                 predicate should_close,
                                 notice on_finished)
    : loop(loop),
      native(native),
      connection(evhttp_request_get_connection(native)),
      received(read_request(native)),
      should_close(std::move(should_close)),
      has_ambiguous_framing(is_framing_ambiguous(received.method, received.headers)),
      finished_callback(std::move(on_finished))
{
}

evhttp_exchange::~evhttp_exchange()
{
    this->stop_watching();
    if (this->destroyed_callback) {
        run_guarded("request destroyed", this->destroyed_callback);
    }
}

void evhttp_exchange::on_destroyed(notice callback)
{
    this->destroyed_callback = std::move(callback);
}

http_request evhttp_exchange::read_request(evhttp_request* native)
{
    http_request request;
    request.method = method_name(evhttp_request_get_command(native));
    request.path = evhttp_request_get_uri(native);
    const evkeyvalq* const headers = evhttp_request_get_input_headers(native);
    for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
        request.headers.push_back({header->key, header->value});
    }
    evbuffer* const body = evhttp_request_get_input_buffer(native);
    request.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, request.body.data(), request.body.size());
    return request;
}

void evhttp_exchange::attach()
{
    this->self_reference = this->shared_from_this();
    evhttp_connection_set_closecb(this->connection, &evhttp_exchange::on_connection_closed, this);
    bufferevent* const stream = evhttp_connection_get_bufferevent(this->connection);
    set_connection_options(bufferevent_getfd(stream));
    // evhttp does not read while a response is pending, so a close by the caller is detected on the socket.
    this->shutdown_event = event_new(this->loop.native_handle(),
                                     bufferevent_getfd(stream),
                                     EV_CLOSED,
                                     &evhttp_exchange::on_peer_shutdown,
                                     this);
    event_add(this->shutdown_event, nullptr);
    this->output_callback_entry =
        evbuffer_add_cb(bufferevent_get_output(stream), &evhttp_exchange::on_output_changed, this);
}

void evhttp_exchange::stop_watching()
{
    if (this->shutdown_event != nullptr) {
        event_free(this->shutdown_event);
        this->shutdown_event = nullptr;
    }
    if (this->output_callback_entry != nullptr && this->connection != nullptr) {
        bufferevent* const stream = evhttp_connection_get_bufferevent(this->connection);
        evbuffer_remove_cb_entry(bufferevent_get_output(stream), this->output_callback_entry);
    }
    this->output_callback_entry = nullptr;
}

void evhttp_exchange::complete()
{
    if (this->completed) {
        return;
    }
    this->completed = true;
    const auto keep_alive = std::move(this->self_reference);
    if (this->connection != nullptr) {
        evhttp_connection_set_closecb(this->connection, nullptr, nullptr);
        this->connection = nullptr;
    }
    run_guarded("response sent", this->finished_callback);
}

void evhttp_exchange::on_sent(evhttp_request* /*request*/, void* self)
{
    static_cast<evhttp_exchange*>(self)->complete();
}

void evhttp_exchange::on_connection_closed(evhttp_connection* /*connection*/, void* self)
{
    auto* const exchange = static_cast<evhttp_exchange*>(self);
    const auto keep_alive = exchange->self_reference;
    exchange->stop_watching();
    exchange->connection = nullptr;
    exchange->report_caller_left();
    if (exchange->finished) {
        exchange->complete();
    }
}

void evhttp_exchange::on_peer_shutdown(int /*descriptor*/,
                                       short /*what*/,
                                       void* self) // NOLINT(*-runtime-int)
{
    auto* const exchange = static_cast<evhttp_exchange*>(self);
    const auto keep_alive = exchange->self_reference;
    exchange->report_caller_left();
}

void evhttp_exchange::on_output_changed(evbuffer* buffer, const evbuffer_cb_info* info, void* self)
{
    auto* const exchange = static_cast<evhttp_exchange*>(self);
    if (info->n_deleted == 0 || evbuffer_get_length(buffer) > low_water_bytes ||
        !exchange->drained_callback) {
        return;
    }
    // Posted, since the buffer must not be changed inside its own callback.
    exchange->loop.post([weak = exchange->weak_from_this()] {
        const auto alive = weak.lock();
        if (alive != nullptr && !alive->finished && alive->drained_callback) {
            alive->drained_callback();
        }
    });
}

void evhttp_exchange::report_caller_left()
{
    this->caller_left = true;
    if (this->caller_left_reported || this->finished || !this->caller_left_callback) {
        return;
    }
    this->caller_left_reported = true;
    run_guarded("caller left", this->caller_left_callback);
}

const http_request& evhttp_exchange::request() const
{
    return this->received;
}

void evhttp_exchange::add_headers(const http_headers& headers)
{
    evkeyvalq* const output = evhttp_request_get_output_headers(this->native);
    for (const auto& header : headers) {
        evhttp_add_header(output, header.name.c_str(), header.value.c_str());
    }
    if (this->should_close() || this->has_ambiguous_framing) {
        evhttp_add_header(output, "Connection", "close");
    }
}

void evhttp_exchange::start(int status, const http_headers& headers)
{
    this->started = true;
    if (this->connection == nullptr) {
        return;
    }
    this->add_headers(headers);
    evhttp_send_reply_start(this->native, status, nullptr);
}

void evhttp_exchange::write(std::string_view data)
{
    if (this->connection == nullptr || data.empty()) {
        return;
    }
    evbuffer* const chunk = evbuffer_new();
    evbuffer_add(chunk, data.data(), data.size());
    evhttp_send_reply_chunk(this->native, chunk);
    evbuffer_free(chunk);
}

void evhttp_exchange::mark_finished()
{
    this->finished = true;
    this->stop_watching();
    if (this->connection == nullptr) {
        this->complete();
        return;
    }
    // The exchange counts as open until the kernel has accepted the last byte of the response.
    evhttp_request_set_on_complete_cb(this->native, &evhttp_exchange::on_sent, this);
}

void evhttp_exchange::finish()
{
    if (this->finished) {
        return;
    }
    const auto keep_alive = this->self_reference;
    this->mark_finished();
    evhttp_send_reply_end(this->native);
}

void evhttp_exchange::abort()
{
    if (this->finished) {
        return;
    }
    const auto keep_alive = this->self_reference;
    this->finished = true;
    this->stop_watching();
    evhttp_connection* const aborted_connection = this->connection;
    this->complete();
    if (aborted_connection == nullptr) {
        evhttp_send_reply_end(this->native);
    } else {
        evhttp_connection_free(aborted_connection);
    }
}

void evhttp_exchange::send_response(const http_response& response)
{
    if (this->finished) {
        return;
    }
    const auto keep_alive = this->self_reference;
    if (this->connection != nullptr) {
        this->add_headers(response.headers);
    }
    this->mark_finished();
    evbuffer* const body = evbuffer_new();
    // The response to HEAD has no body; the caller would read it as another response.
    if (this->received.method != "HEAD") {
        evbuffer_add(body, response.body.data(), response.body.size());
    }
    evhttp_send_reply(this->native, response.status, nullptr, body);
    evbuffer_free(body);
}

std::size_t evhttp_exchange::unsent_bytes() const
{
    if (this->connection == nullptr) {
        return 0;
    }
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection)));
}

void evhttp_exchange::on_drained(notice callback)
{
    this->drained_callback = std::move(callback);
}

bool evhttp_exchange::has_caller_left() const
{
    if (this->caller_left || this->connection == nullptr) {
        return true;
    }
    const int descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection));
    return is_closed_by_peer(descriptor);
}

void evhttp_exchange::on_caller_left(notice callback)
{
    this->caller_left_callback = std::move(callback);
    if (this->caller_left) {
        this->report_caller_left();
    }
}

} // namespace tanager
