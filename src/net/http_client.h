// Sends HTTP requests to other processes and streams their responses.
#pragma once

#include "net/event_loop.h"
#include "net/types/http_types.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

namespace tanager {

// How far a call had progressed when it failed.
enum class call_progress {
    not_sent,  // no byte of the request was sent, so the peer cannot have run it
    maybe_sent // the peer may have received and run the request
};

struct http_failure {
    error cause;
    call_progress progress = call_progress::maybe_sent;
    std::size_t received_bytes = 0; // of the response, heads and framing included
    bool is_too_long = false;       // the response exceeds max_collected_bytes

    friend bool operator==(const http_failure&, const http_failure&) = default;
};

// Whose response has arrived. A peer may send a response twice, and the copy arrives where the response to
// the next request of the connection is due.
enum class response_owner {
    this_call,
    another_call, // it names another request
    unnamed       // it names no request, so that a copy of it could not be told from other responses
};

// Receives the parts of one response in order; the last callback is exactly one of `on_end` and `on_failure`.
// A connection that has brought a response of another call is not used again; a call that meets more than
// eight of them fails with reply_malformed.
// The call fails with reply_malformed if the head (64 KB), unparsed framing (128 KB) or the body (64 MB)
// exceeds its limit. The body limit is much higher because a streamed body is not held in memory.
class http_response_handler {
public:
    http_response_handler() = default;
    http_response_handler(const http_response_handler&) = delete;
    http_response_handler& operator=(const http_response_handler&) = delete;
    http_response_handler(http_response_handler&&) = delete;
    http_response_handler& operator=(http_response_handler&&) = delete;
    virtual ~http_response_handler() = default;

    // Decides whose response begins with a head, before any other callback for it. One of another call is
    // skipped: the response to this call may still follow. After an unnamed one, the connection is not used
    // again.
    virtual response_owner owner_of(int /*status*/, const http_headers& /*headers*/)
    {
        return response_owner::this_call;
    }

    virtual void on_head(int status, const http_headers& headers) = 0;
    virtual void on_data(std::string_view data) = 0;
    virtual void on_end() = 0;
    virtual void on_failure(const http_failure& failure) = 0;
};

// The connection that carries a call.
struct call_connection {
    std::uint64_t number = 0;           // unique in this process; 0 before there is a connection
    std::uint32_t earlier_requests = 0; // that it has carried before this call

    friend bool operator==(const call_connection&, const call_connection&) = default;
};

// A call in progress.
class http_call {
public:
    http_call() = default;
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    http_call(http_call&&) = delete;
    http_call& operator=(http_call&&) = delete;
    virtual ~http_call() = default;

    // Cancels the call; the handler is not called again.
    virtual void cancel() = 0;

    // Returns whether any byte of the request has been sent to the peer.
    virtual bool is_sent() const = 0;

    virtual call_connection connection_used() const = 0;

    // Stop and resume reading the response. While reading is stopped, flow control blocks the peer.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

struct http_call_options {
    // Maximum time without receiving or sending a byte. The whole call is limited to twice this value, so
    // that a slow trickle of bytes ends as well, unless it makes steady progress.
    std::chrono::milliseconds timeout{30'000};
    bool reuse_connection = true;
    // Accepts a response without length or chunked framing, which ends when the peer closes the connection. A
    // connection reset is still a failure.
    bool accept_unframed = false;
    // Only connections that were idle for less than this are reused.
    std::chrono::milliseconds max_idle_time{30'000};
    // The longest body that `fetch` collects. The largest object of the store has 1 MB, and its pages
    // slightly more.
    std::size_t max_collected_bytes = std::size_t{8} * 1024 * 1024;
    // The id that the peer repeats in its response; empty for calls without one. No connection carries two
    // requests with the same id, since the id could not tell their responses apart.
    std::string request_id;
    // In bytes per second, in both directions together. A call that was at least as fast over the last second
    // goes on beyond twice its timeout; 0 ends it there at any rate.
    std::size_t min_rate = 0;

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

    // Starts a call. The client keeps the handler until its last callback or until the call is cancelled, and
    // never calls it before this function returns.
    virtual std::shared_ptr<http_call> start(const socket_address& peer,
                                             const http_request& request,
                                             const http_call_options& options,
                                             std::shared_ptr<http_response_handler> handler) = 0;

    using response_callback = std::function<void(const tl::expected<http_response, http_failure>&)>;

    using owner_check = std::function<response_owner(int status, const http_headers& headers)>;

    // Starts a call whose response is collected in memory. A body that is too long fails with
    // reply_malformed, as soon as its length is known. `owner_of` is that of http_response_handler.
    std::shared_ptr<http_call> fetch(const socket_address& peer,
                                     const http_request& request,
                                     const http_call_options& options,
                                     response_callback callback,
                                     owner_check owner_of = {});
};

} // namespace tanager
