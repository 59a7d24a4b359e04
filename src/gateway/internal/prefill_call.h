#pragma once

#include "gateway/request_codec.h"
#include "gateway/server_pool.h"
#include "gateway/types/caller_request.h"
#include "net/http_client.h"

#include <functional>
#include <memory>

namespace tanager {

// One call that has an engine read a prompt for another one. Whatever goes wrong here, the request has not
// run.
class prefill_call final : public std::enable_shared_from_this<prefill_call> {
public:
    // Hears the KV cache that holds the prompt, or why there is none: backend_refused and connect_failed say
    // that the reader has not worked on it.
    using callback = std::function<void(const result<kv_cache_handle>&)>;

    prefill_call(const request_codec& codec,
                 server_pool& pool,
                 std::shared_ptr<const backend_server> prefill_engine,
                 caller_request request);

    // `sent` is the caller's request as the reader is to get it.
    void start(http_client& client,
               const http_request& prefill_request,
               const http_call_options& options,
               callback on_end);

    // Breaks the call off; the outcome is not heard any more.
    void cancel();

private:
    result<kv_cache_handle> decode_result(const tl::expected<http_response, http_failure>& response);

    const request_codec& codec;
    server_pool& pool;
    std::shared_ptr<const backend_server> prefill_engine;
    caller_request request;
    std::shared_ptr<http_call> call;
    callback on_end;
};

} // namespace tanager
