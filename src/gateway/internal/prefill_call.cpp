#include "gateway/internal/prefill_call.h"

namespace tanager {

namespace {

constexpr int status_ok = 200;

} // namespace

prefill_call::prefill_call(const request_codec& codec,
                           server_pool& pool,
                           std::shared_ptr<const backend_server> prefill_engine,
                           caller_request request)
    : codec(codec), pool(pool), prefill_engine(std::move(prefill_engine)), request(std::move(request))
{
}

void prefill_call::start(http_client& client,
                         const http_request& sent,
                         const http_call_options& options,
                         callback on_end)
{
    this->on_end = std::move(on_end);
    this->call = client.fetch(
        this->prefill_engine->address,
        sent,
        options,
        [self = this->shared_from_this()](const tl::expected<http_response, http_failure>& reply) {
            const auto cache = self->decode_result(reply);
            const auto listener = std::exchange(self->on_end, nullptr);
            self->call.reset();
            if (listener) {
                listener(cache);
            }
        });
}

void prefill_call::cancel()
{
    this->on_end = nullptr;
    if (this->call != nullptr) {
        std::exchange(this->call, nullptr)->cancel();
    }
}

result<kv_cache_handle> prefill_call::decode_result(const tl::expected<http_response, http_failure>& reply)
{
    if (!reply) {
        this->pool.record_outcome(this->prefill_engine->id, server_outcome::unresponsive);
        return tl::make_unexpected(reply.error().cause);
    }
    if (reply->status != status_ok) {
        this->pool.record_outcome(this->prefill_engine->id, server_outcome::inconclusive);
        const auto head = this->codec.decode_response_head(this->request, reply->status, reply->headers);
        if (head.is_misdirected) {
            this->pool.servers().mark_draining(this->prefill_engine->id);
        }
        const auto code = head.not_executed ? result_code::backend_refused : result_code::backend_failed;
        return fail(code, "prompt not read by " + this->prefill_engine->id);
    }
    this->pool.record_outcome(this->prefill_engine->id, server_outcome::answered);
    return this->codec.decode_kv_cache(this->prefill_engine->address, reply->body);
}

} // namespace tanager
