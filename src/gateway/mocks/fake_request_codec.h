#pragma once

#include "gateway/request_codec.h"

namespace tanager {

// Encodes and decodes with short headers of its own: `id` in requests and responses, `key` in requests;
// `server`, `organisation`, `time-left`, `resume`, `prefill-only`, `prefix-from` and `cache` in attempts;
// `signed`, `not-run` and `leaving` in responses.
class fake_request_codec final : public request_codec {
public:
    result<caller_request> decode_request(const http_request& request) const override
    {
        caller_request decoded;
        decoded.id = find_header(request.headers, "id");
        decoded.path = request.path;
        return decoded;
    }

    std::string decode_key(const http_request& request) const override
    {
        return find_header(request.headers, "key");
    }

    http_request encode_attempt(const http_request& request, const attempt_options& options) const override
    {
        http_request sent = request;
        sent.headers.push_back({"server", options.server_id});
        if (options.organisation) {
            sent.headers.push_back({"organisation", *options.organisation});
        }
        sent.headers.push_back({"time-left", std::to_string(options.time_left.count())});
        if (options.last_event_id) {
            sent.headers.push_back({"resume", std::to_string(*options.last_event_id)});
        }
        if (options.prefill_only) {
            sent.headers.push_back({"prefill-only", "1"});
        }
        if (options.prefix_source) {
            sent.headers.push_back({"prefix-from", to_text(*options.prefix_source)});
        }
        if (options.kv_cache) {
            sent.headers.push_back({"cache", options.kv_cache->name});
        }
        return sent;
    }

    response_info decode_response_head(const caller_request& request,
                                       int status,
                                       const http_headers& headers) const override
    {
        constexpr int misdirected_status = 421;
        response_info head;
        head.status = status;
        const auto id = find_header(headers, "id");
        head.id = id.empty() ? response_id::none : id == request.id ? response_id::own : response_id::another;
        head.matches_request =
            head.id == response_id::own || (head.id == response_id::none && request.id.empty());
        head.has_digest = !find_header(headers, "signed").empty();
        head.is_misdirected = status == misdirected_status;
        if (!find_header(headers, "leaving").empty()) {
            head.leaving =
                head.is_misdirected ? leaving_statement::address_holder : leaving_statement::asked_server;
        }
        head.states_not_executed = head.is_misdirected || !find_header(headers, "not-run").empty();
        return head;
    }

    result<kv_cache_handle> decode_kv_cache(const socket_address& holder,
                                            const std::string& body) const override
    {
        if (body.empty()) {
            return fail(result_code::backend_answer_malformed, "no handle");
        }
        return kv_cache_handle{holder, body};
    }

    http_request encode_kv_cache_release(const kv_cache_handle& cache) const override
    {
        return {"DELETE", "/" + cache.name, {}, {}};
    }

    http_headers filter_response_headers(const http_headers& headers) const override
    {
        return headers;
    }

    http_response encode_error_response(const caller_request& /*request*/,
                                        int status,
                                        const error& cause,
                                        std::chrono::milliseconds retry_after) const override
    {
        return {
            status, {{"retry-after", std::to_string(retry_after.count())}}, std::string{name_of(cause.code)}};
    }
};

} // namespace tanager
