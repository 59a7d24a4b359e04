#include "event_stream.h"

#include <iomanip>
#include <sstream>

namespace review {

namespace {

constexpr std::chrono::seconds caller_timeout{8};

} // namespace

std::string make_event(const std::string& request_id, std::uint64_t number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of " + request_id +
           "\n\n";
}

std::uint64_t first_event_number(const http_message& request)
{
    return std::stoull("0" + request.header_or("Last-Event-Id", "0")) + 1;
}

std::string start_of_stream(const http_message& request)
{
    return "HTTP/1.1 200 OK\r\n" + answer_headers(request) +
           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string make_chunk(const std::string& bytes)
{
    std::ostringstream chunk;
    chunk << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return chunk.str();
}

std::string end_of_stream()
{
    return "0\r\n\r\n";
}

stream_result fetch_stream(const std::string& gateway, const std::string& path, const std::string& id)
{
    stream_result result;
    const auto peer = connection::open(gateway);
    if (peer == nullptr) {
        return result;
    }
    peer->set_receive_timeout(caller_timeout);
    peer->send("POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
               "\r\nDeadline-Ms: 8000\r\nContent-Length: 3\r\n\r\ngel");
    if (const auto response = peer->read_response(result.is_complete)) {
        result.status = response->status();
        result.body = response->body;
    }
    return result;
}

bool is_in_order(const stream_result& result, const std::string& id, std::uint64_t event_count)
{
    std::string expected;
    for (std::uint64_t number = 1; number <= event_count; ++number) {
        expected += make_event(id, number);
    }
    return result.is_complete ? result.body == expected : expected.starts_with(result.body);
}

} // namespace review
