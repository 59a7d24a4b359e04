// Translates between HTTP messages and the gateway's types.
#pragma once

#include "base/types/result.h"
#include "gateway/types/caller_request.h"
#include "gateway/types/response_info.h"
#include "net/types/http_types.h"

namespace tanager {

class request_codec {
public:
    request_codec() = default;
    request_codec(const request_codec&) = delete;
    request_codec& operator=(const request_codec&) = delete;
    request_codec(request_codec&&) = delete;
    request_codec& operator=(request_codec&&) = delete;
    virtual ~request_codec() = default;

    // Fails with request_malformed or framing_ambiguous.
    virtual result<caller_request> decode_request(const http_request& request) const = 0;

    // Returns the key by which the caller's organisation is found; empty without one, or with several.
    virtual std::string decode_key(const http_request& request) const = 0;

    // Returns the request to send to a server: the caller's request without hop-by-hop headers and without
    // headers that only the system may set, plus `options`.
    virtual http_request encode_attempt(const http_request& request,
                                        const attempt_options& options) const = 0;

    virtual response_info
    decode_response_head(const caller_request& request, int status, const http_headers& headers) const = 0;

    // Returns the KV cache that a server has prefilled; fails with backend_answer_malformed.
    virtual result<kv_cache_handle> decode_kv_cache(const socket_address& holder,
                                                    const std::string& body) const = 0;

    // Returns the request that frees a KV cache that no engine will fetch.
    virtual http_request encode_kv_cache_release(const kv_cache_handle& cache) const = 0;

    // Returns the headers of a server's response that are forwarded to the caller.
    virtual http_headers filter_response_headers(const http_headers& headers) const = 0;

    // Returns an error response of the gateway itself. `retry_after` is omitted when zero.
    virtual http_response encode_error_response(const caller_request& request,
                                                int status,
                                                const error& cause,
                                                std::chrono::milliseconds retry_after) const = 0;
};

} // namespace tanager
