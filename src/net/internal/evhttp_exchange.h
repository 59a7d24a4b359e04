#pragma once

#include "net/event_loop.h"
#include "net/http_exchange.h"

struct evhttp_connection;
struct evhttp_request;
struct evbuffer;
struct evbuffer_cb_entry;
struct evbuffer_cb_info;

namespace tanager {

// An http_exchange over evhttp.
class evhttp_exchange final : public http_exchange, public std::enable_shared_from_this<evhttp_exchange> {
public:
    using predicate = std::function<bool()>;

    // `should_close` is evaluated when the response starts; true closes the connection after the response. So
    // does a request with an ambiguous framing, whose end is not known.
    evhttp_exchange(event_loop& loop, evhttp_request* native, predicate should_close, notice on_finished);
    ~evhttp_exchange() override;
    evhttp_exchange(const evhttp_exchange&) = delete;
    evhttp_exchange& operator=(const evhttp_exchange&) = delete;
    evhttp_exchange(evhttp_exchange&&) = delete;
    evhttp_exchange& operator=(evhttp_exchange&&) = delete;

    // Starts watching for a close by the caller; keeps the exchange alive until the response has been sent.
    void attach();

    // Sets a function that is called when the request is no longer in memory.
    void on_destroyed(notice callback);

    const http_request& request() const override;
    void start(int status, const http_headers& headers) override;
    void write(std::string_view data) override;
    void finish() override;
    void abort() override;
    void send_response(const http_response& response) override;
    std::size_t unsent_bytes() const override;
    void on_drained(notice callback) override;
    bool has_caller_left() const override;
    void on_caller_left(notice callback) override;

private:
    static void on_connection_closed(evhttp_connection* connection, void* self);
    static void on_peer_shutdown(int descriptor, short what, void* self); // NOLINT(*-runtime-int)
    static void on_output_changed(evbuffer* buffer, const evbuffer_cb_info* info, void* self);
    static http_request read_request(evhttp_request* native);
    void add_headers(const http_headers& headers);
    static void on_sent(evhttp_request* request, void* self);
    void report_caller_left();
    void stop_watching();
    void mark_finished();
    void complete();

    event_loop& loop;
    evhttp_request* native;
    evhttp_connection* connection;
    http_request received;
    predicate should_close;
    bool has_ambiguous_framing = false;
    bool started = false;
    bool finished = false;
    bool completed = false;
    bool caller_left = false;
    bool caller_left_reported = false;
    event* shutdown_event = nullptr;
    evbuffer_cb_entry* output_callback_entry = nullptr;
    notice finished_callback;
    notice destroyed_callback;
    notice drained_callback;
    notice caller_left_callback;
    std::shared_ptr<evhttp_exchange> self_reference;
};

} // namespace tanager
