// One received request and the response to it.
#pragma once

#include "net/types/http_types.h"

#include <functional>
#include <memory>
#include <string_view>

namespace tanager {

// The request's handler holds a shared pointer until the response is finished. After the caller has closed
// the connection, writes are ignored, but the handler must still finish the response.
class http_exchange {
public:
    using notice = std::function<void()>;

    http_exchange() = default;
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;
    http_exchange(http_exchange&&) = delete;
    http_exchange& operator=(http_exchange&&) = delete;
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;

    // Starts a chunked response.
    virtual void start(int status, const http_headers& headers) = 0;

    // Appends to a started response.
    virtual void write(std::string_view data) = 0;

    // Ends a started response.
    virtual void finish() = 0;

    // Closes the connection, so that the caller sees a truncated response instead of a complete one.
    virtual void abort() = 0;

    // Sends a complete response.
    virtual void send_response(const http_response& response) = 0;

    // Returns the number of bytes written but not yet accepted by the kernel.
    virtual std::size_t unsent_bytes() const = 0;

    // Sets the callback for each time the unsent bytes have fallen to the low-water mark (16 KB).
    virtual void on_drained(notice callback) = 0;

    // Returns whether the caller has closed its side of the connection. Unlike the callback, it also knows of
    // a close that the event loop has not processed yet.
    virtual bool has_caller_left() const = 0;

    // Sets the callback that runs once if the caller closes its side before the response is finished. It runs
    // at once if the caller has already done so.
    virtual void on_caller_left(notice callback) = 0;
};

} // namespace tanager
