// One request to this process and the reply to it.
#pragma once

#include "net/types/http_types.h"

#include <functional>
#include <memory>
#include <string_view>

namespace tanager {

// Whoever serves the request holds a shared pointer until the reply is finished. After the caller has left,
// all writes are ignored, but `finish` is still owed.
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

    // Starts a chunked reply.
    virtual void start(int status, const http_headers& headers) = 0;

    // Appends to a started reply.
    virtual void write(std::string_view data) = 0;

    // Ends a started reply.
    virtual void finish() = 0;

    // Breaks the connection off, so that the caller sees a truncated reply rather than a whole one.
    virtual void abort() = 0;

    // Sends a whole reply.
    virtual void send_response(const http_response& response) = 0;

    // Returns the bytes written but not yet taken by the kernel.
    virtual std::size_t unsent_bytes() const = 0;

    // Called each time the unsent bytes have fallen to the low-water mark.
    virtual void on_drained(notice callback) = 0;

    // Called once when the caller closes its side before the reply is finished.
    virtual void on_caller_left(notice callback) = 0;
};

} // namespace tanager
