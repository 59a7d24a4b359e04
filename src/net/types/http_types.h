// HTTP messages as values.
#pragma once

#include "base/types/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

using http_headers = std::vector<http_header>;

struct http_request {
    std::string method;
    std::string path; // including the query
    http_headers headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

struct http_response {
    int status = 0;
    http_headers headers;
    std::string body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

// Host and port of a socket.
struct socket_address {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const socket_address&, const socket_address&) = default;
};

// Parses `ip:port` without checking the ip part. Fails with address_invalid.
result<socket_address> parse_address(const std::string& text);
std::string to_text(const socket_address& address);

// Returns whether the host of an address is an IPv4 address. A name would have to be resolved, which blocks.
bool has_ipv4_host(const socket_address& address);

// Returns the value of the first header of that name, ignoring case, or an empty string.
std::string find_header(const http_headers& headers, std::string_view name);

// Returns the type and subtype of a message's body in lower case, or an empty string without a Content-Type.
std::string media_type_of(const http_headers& headers);

// Returns whether `name` is a token as HTTP demands of header names.
bool is_header_name(std::string_view name);

// Returns whether a text can be sent as the whole value of a header: it is not empty, and has no blanks and
// no control characters.
bool is_header_word(std::string_view text);

// Returns whether a request can be sent as it is: its method and the names of its headers are tokens, its
// target has no spaces or control characters, and the values of its headers have no control characters but
// tabs.
bool is_sendable(const http_request& request);

// Returns whether two HTTP implementations could disagree on where a message's body ends: two lengths, a
// length and an encoding, a length that is no plain number, an encoding other than chunked, a header whose
// name is no token, or the body of a HEAD request. What follows such a message on its connection must not be
// read as another message (request smuggling). `method` is empty for a response.
bool is_framing_ambiguous(std::string_view method, const http_headers& headers);

// What can be said of a response's status line from the bytes that have arrived.
enum class status_line_state { incomplete, valid, invalid };

// Checks the version and status at the start of a response: HTTP/1.x, one space, three digits from 100 to 599
// and a space or the end of the line. Everything else is no status of HTTP, whatever a lenient parser reads
// from it.
status_line_state check_status_line(std::string_view start);

// The number of bytes at the start of a response on which `check_status_line` depends.
inline constexpr std::size_t checked_status_line_bytes = 13;

// Returns whether the head of a response holds the status line of another one, as when a peer breaks off a
// response and goes on with the next: status and headers are then those of two responses. `reason` is the
// rest of the status line after the status.
bool is_joined_head(std::string_view reason, const http_headers& headers);

// Returns whether a response's head tells where its body ends; otherwise only the end of its connection does.
bool is_framed(int status, const http_headers& headers);

} // namespace tanager
