#pragma once

#include "entry/types/request_types.h"

#include <string>
#include <string_view>
#include <tanager.pb.h>

namespace tanager {

// Last stage: writes the answer of an attempt as the response to the caller. Event streams are forwarded as
// they arrive; other responses are buffered, unless they are long, so that they carry their outcome in a
// header.
class answer_writer {
public:
    explicit answer_writer(const received_request& request);

    void set_head(const protocol::answer_head& head);
    void write(std::string_view data);

    // Sends the rest of a complete response.
    void finish();

    // Aborts a response that has started, so that the caller does not take it for a complete one.
    void abort();

    // Discards the buffered data of a failed attempt.
    void reset();

    int answer_status() const;
    const std::string& answer_content_type() const;

    // Returns the buffered body; empty once the response has started.
    const std::string& buffered_body() const;

    // Returns whether any part of the response has been sent to the caller.
    bool has_started() const;

    // Returns whether too many bytes are unsent because the caller reads more slowly than data arrives.
    bool is_congested() const;

private:
    http_headers make_headers() const;
    void start();

    std::shared_ptr<http_exchange> exchange;
    std::string request_id;
    int status = 0;
    std::string content_type;
    bool is_stream = false;
    bool is_started = false;
    std::string buffer;
};

} // namespace tanager
