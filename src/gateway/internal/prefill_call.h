#pragma once

#include "gateway/request_codec.h"
#include "gateway/server_pool.h"
#include "gateway/types/caller_request.h"
#include "metrics/metrics_registry.h"
#include "net/http_client.h"

#include <functional>
#include <memory>

namespace tanager {

// A call to a prefill engine that prefills a prompt for a decode engine. If the call fails, the request
// itself has not been executed.
class prefill_call final : public std::enable_shared_from_this<prefill_call> {
public:
    // A response names a KV cache. Many prompts may be prefilled at once.
    static constexpr std::size_t max_response_bytes = std::size_t{64} * 1024;

    // Receives the KV cache of the prompt, or an error. After backend_refused and connect_failed, the engine
    // has not processed the prompt.
    using callback = std::function<void(const result<kv_cache_handle>&)>;

    prefill_call(const request_codec& codec,
                 server_pool& pool,
                 metrics_registry& metrics,
                 std::shared_ptr<const backend_server> prefill_engine,
                 caller_request request);

    // `prefill_request` is the caller's request as encoded for the prefill engine.
    void start(http_client& client,
               const http_request& prefill_request,
               const http_call_options& options,
               callback on_end);

    // Returns the head of the response once the call has ended; status 0 without a response.
    const response_info& response_head() const;

    call_connection connection_used() const;

    // Cancels the call; the callback will not be called.
    void cancel();

private:
    result<kv_cache_handle> decode_result(const tl::expected<http_response, http_failure>& response);

    const request_codec& codec;
    server_pool& pool;
    metrics_registry& metrics;
    std::shared_ptr<const backend_server> prefill_engine;
    caller_request request;
    std::shared_ptr<http_call> call;
    response_info head;
    call_connection connection;
    callback on_end;
};

} // namespace tanager
