// Sends HTTP requests to other processes and streams their replies.
#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace tanager {

// How far a failed call had come.
enum class call_progress {
    not_sent,  // no connection was made, so the peer has seen nothing
    maybe_sent // the peer may have received and run the request
};

struct http_failure {
    error cause;
    call_progress progress = call_progress::maybe_sent;

    friend bool operator==(const http_failure&, const http_failure&) = default;
};

// Receives the parts of one reply, in order; exactly one of `on_end` and `on_failure` comes last. A peer that
// sends a head or a part of its framing without end is cut off with reply_malformed; so is a body, but long
// after, since whoever passes it on does not hold it.
class http_response_handler {
public:
    http_response_handler() = default;
    http_response_handler(const http_response_handler&) = delete;
    http_response_handler& operator=(const http_response_handler&) = delete;
    http_response_handler(http_response_handler&&) = delete;
    http_response_handler& operator=(http_response_handler&&) = delete;
    virtual ~http_response_handler() = default;

    virtual void on_head(int status, const http_headers& headers) = 0;
    virtual void on_data(std::string_view data) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(const http_failure& failure) = 0;
};

// A call under way.
class http_call {
public:
    http_call() = default;
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    http_call(http_call&&) = delete;
    http_call& operator=(http_call&&) = delete;
    virtual ~http_call() = default;

    // Breaks the call off; the handler hears nothing more.
    virtual void cancel() = 0;

    // Returns whether any byte of the request has left for the peer.
    virtual bool is_sent() const = 0;

    // Stops and restarts reading from the peer, which makes the peer wait.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

struct http_call_options {
    // Without any byte; the whole call may take twice as long, so that a trickle ends, too.
    std::chrono::milliseconds timeout{30'000};
    bool reuse_connection = true;
    // Accepts a reply that ends with its connection; a reset is still told from an orderly end.
    bool accept_unframed = false;
    // Only connections that were idle for less than this are used again.
    std::chrono::milliseconds max_idle_time{30'000};

    friend bool operator==(const http_call_options&, const http_call_options&) = default;
};

class http_client {
public:
    static std::unique_ptr<http_client> create(event_loop& loop);

    http_client() = default;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;
    virtual ~http_client() = default;

    // Starts a call. The handler is kept until its last notice; it is never called before this returns.
    virtual std::shared_ptr<http_call> start(const socket_address& peer,
                                             const http_request& request,
                                             const http_call_options& options,
                                             std::shared_ptr<http_response_handler> handler) = 0;

    using response_callback = std::function<void(const tl::expected<http_response, http_failure>&)>;

    // Starts a call whose reply is collected in memory; one of more than 8 MB is malformed.
    std::shared_ptr<http_call> fetch(const socket_address& peer,
                                     const http_request& request,
                                     const http_call_options& options,
                                     response_callback callback);
};

} // namespace tanager
