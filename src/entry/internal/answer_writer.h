#pragma once

#include "entry/types/request_types.h"

#include <string>
#include <string_view>
#include <tanager.pb.h>

namespace tanager {

// Last filter: writes one answer to its caller. Streams are passed on as they come; other answers are
// collected, so that they carry their outcome in a header, unless they are long.
class answer_writer {
public:
    explicit answer_writer(const received_request& request);

    void set_head(const protocol::answer_head& head);
    void write(std::string_view data);

    // Sends the rest of a whole answer.
    void finish();

    // Breaks off an answer that has begun, so that the caller does not take it for a whole one.
    void abort();

    // Forgets what was collected of an attempt that failed.
    void reset();

    int answer_status() const;
    const std::string& answer_content_type() const;

    // Returns what has been collected; empty once the answer has been started.
    const std::string& buffered_body() const;

    // Returns whether any byte has gone to the caller.
    bool has_started() const;

    // Returns whether the caller takes the answer more slowly than it comes.
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
