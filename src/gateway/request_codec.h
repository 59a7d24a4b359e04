// Translates between HTTP messages and the gateway's own types.
#pragma once

#include "base/types/result.h"
#include "gateway/types/caller_request.h"
#include "net/types/http_types.h"

namespace tanager {

class wire_codec {
public:
    wire_codec() = default;
    wire_codec(const wire_codec&) = delete;
    wire_codec& operator=(const wire_codec&) = delete;
    wire_codec(wire_codec&&) = delete;
    wire_codec& operator=(wire_codec&&) = delete;
    virtual ~wire_codec() = default;

    // Fails with request_malformed or framing_ambiguous.
    virtual result<caller_request> decode(const http_request& request) const = 0;

    // Returns the request that a server gets: the caller's, without what belongs to one connection or is the
    // system's to set, and with the order.
    virtual http_request encode(const http_request& request, const attempt_order& order) const = 0;

    virtual answer_head
    decode_answer(const caller_request& request, int status, const http_headers& headers) const = 0;

    // Returns the KV cache that a server has read a prompt into; fails with backend_answer_malformed.
    virtual result<cache_handle> decode_cache(const socket_address& holder,
                                              const std::string& body) const = 0;

    // Returns the request that frees a KV cache nobody will take.
    virtual http_request encode_cache_release(const cache_handle& cache) const = 0;

    // Returns the headers of a server's answer that go on to the caller.
    virtual http_headers answer_headers(const http_headers& headers) const = 0;

    // Returns an answer of the system's own. `retry_after` is left out when zero.
    virtual http_reply encode_failure(const caller_request& request,
                                      int status,
                                      const error& cause,
                                      std::chrono::milliseconds retry_after) const = 0;
};

} // namespace tanager
