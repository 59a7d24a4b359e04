#pragma once

#include "gateway/request_codec.h"

namespace tanager {

// A codec with the simplest headers: `id`, `signed`, `not-run`, `server`, `resume`, `cache`.
class plain_codec final : public wire_codec {
public:
    result<caller_request> decode(const http_request& request) const override
    {
        caller_request decoded;
        decoded.id = find_header(request.headers, "id");
        decoded.path = request.path;
        return decoded;
    }

    http_request encode(const http_request& request, const attempt_order& order) const override
    {
        http_request sent = request;
        sent.headers.push_back({"server", order.server_id});
        sent.headers.push_back({"time-left", std::to_string(order.time_left.count())});
        if (order.resume_after) {
            sent.headers.push_back({"resume", std::to_string(*order.resume_after)});
        }
        if (order.only_read) {
            sent.headers.push_back({"only-read", "1"});
        }
        if (order.cache) {
            sent.headers.push_back({"cache", order.cache->name});
        }
        return sent;
    }

    answer_head
    decode_answer(const caller_request& request, int status, const http_headers& headers) const override
    {
        constexpr int misdirected = 421;
        answer_head head;
        head.status = status;
        head.is_own = find_header(headers, "id") == request.id;
        head.is_signed = !find_header(headers, "signed").empty();
        head.other_server = status == misdirected;
        head.not_run = head.other_server || !find_header(headers, "not-run").empty();
        return head;
    }

    result<cache_handle> decode_cache(const socket_address& holder, const std::string& body) const override
    {
        if (body.empty()) {
            return fail(result_code::backend_answer_malformed, "no handle");
        }
        return cache_handle{holder, body};
    }

    http_request encode_cache_release(const cache_handle& cache) const override
    {
        return {"DELETE", "/" + cache.name, {}, {}};
    }

    http_headers answer_headers(const http_headers& headers) const override
    {
        return headers;
    }

    http_reply encode_failure(const caller_request& /*request*/,
                              int status,
                              const error& cause,
                              std::chrono::milliseconds retry_after) const override
    {
        return {
            status, {{"retry-after", std::to_string(retry_after.count())}}, std::string{name_of(cause.code)}};
    }
};

} // namespace tanager
