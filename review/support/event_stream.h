// Event streams of the stand-in servers, and what a caller may see of them.
#pragma once

#include "test_case.h"

namespace review {

// The events that a server makes for a request: the same on each server, so that any may resume the stream.
std::string make_event(const std::string& request_id, std::uint64_t number);

// Returns the number of the first event that a server owes: the one after Last-Event-Id.
std::uint64_t first_event_number(const http_message& request);

std::string start_of_stream(const http_message& request);
std::string make_chunk(const std::string& bytes);
std::string end_of_stream();

struct stream_result {
    int status = 0;
    bool is_complete = false; // ended as its framing says
    std::string body;
};

// Sends a request for a stream to the gateway and reads the response to its end.
stream_result fetch_stream(const std::string& gateway, const std::string& path, const std::string& id);

// ORDER: the bytes of a stream are a beginning of its events, in order, and all of them if it is complete.
bool is_in_order(const stream_result& result, const std::string& id, std::uint64_t event_count);

} // namespace review
