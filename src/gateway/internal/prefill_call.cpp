#include "gateway/internal/prefill_call.h"

namespace tanager {

namespace {

constexpr int status_ok = 200;

} // namespace

prompt_reading::prompt_reading(const wire_codec& codec,
                               server_pool& pool,
                               std::shared_ptr<const backend_server> reader,
                               caller_request request)
    : codec(codec), pool(pool), reader(std::move(reader)), request(std::move(request))
{
}

void prompt_reading::start(http_client& client,
                           const http_request& sent,
                           const http_call_options& options,
                           outcome on_end)
{
    this->ended = std::move(on_end);
    this->call =
        client.fetch(this->reader->address,
                     sent,
                     options,
                     [self = this->shared_from_this()](const tl::expected<http_reply, http_failure>& reply) {
                         const auto cache = self->judge(reply);
                         const auto listener = std::exchange(self->ended, nullptr);
                         self->call.reset();
                         if (listener) {
                             listener(cache);
                         }
                     });
}

void prompt_reading::cancel()
{
    this->ended = nullptr;
    if (this->call != nullptr) {
        std::exchange(this->call, nullptr)->cancel();
    }
}

result<cache_handle> prompt_reading::judge(const tl::expected<http_reply, http_failure>& reply)
{
    if (!reply) {
        this->pool.record(this->reader->id, server_outcome::unresponsive);
        return tl::make_unexpected(reply.error().cause);
    }
    if (reply->status != status_ok) {
        this->pool.record(this->reader->id, server_outcome::inconclusive);
        const auto head = this->codec.decode_answer(this->request, reply->status, reply->headers);
        if (head.other_server) {
            this->pool.list().mark_draining(this->reader->id);
        }
        const auto code = head.not_run ? result_code::backend_refused : result_code::backend_failed;
        return fail(code, "prompt not read by " + this->reader->id);
    }
    this->pool.record(this->reader->id, server_outcome::answered);
    return this->codec.decode_cache(this->reader->address, reply->body);
}

} // namespace tanager
