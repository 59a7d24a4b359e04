#include "gateway/internal/prefill_call.h"

namespace tanager {

namespace {

constexpr int status_ok = 200;

} // namespace

prefill_call::prefill_call(const request_codec& codec,
                           server_pool& pool,
                           metrics_registry& metrics,
                           std::shared_ptr<const backend_server> prefill_engine,
                           caller_request request)
    : codec(codec),
      pool(pool),
      metrics(metrics),
      prefill_engine(std::move(prefill_engine)),
      request(std::move(request))
{
}

void prefill_call::start(http_client& client,
                         const http_request& prefill_request,
                         const http_call_options& options,
                         callback on_end)
{
    this->on_end = std::move(on_end);
    this->call = client.fetch(
        this->prefill_engine->address,
        prefill_request,
        options,
        [self = this->shared_from_this()](const tl::expected<http_response, http_failure>& response) {
            self->connection = self->call->connection_used();
            const auto cache = self->decode_result(response);
            const auto callback_to_run = std::exchange(self->on_end, nullptr);
            self->call.reset();
            if (callback_to_run) {
                callback_to_run(cache);
            }
        },
        [self = this->shared_from_this()](int status, const http_headers& headers) {
            const auto head = self->codec.decode_response_head(self->request, status, headers);
            self->pool.record_leaving(*self->prefill_engine, head.leaving, answer_kind::prefill, status);
            const auto owner = head.owner();
            if (owner == response_owner::another_call) {
                self->metrics.increment_counter("tanager_responses_skipped_total");
            }
            return owner;
        });
}

const response_info& prefill_call::response_head() const
{
    return this->head;
}

call_connection prefill_call::connection_used() const
{
    return this->connection;
}

void prefill_call::cancel()
{
    this->on_end = nullptr;
    if (this->call != nullptr) {
        std::exchange(this->call, nullptr)->cancel();
    }
}

result<kv_cache_handle> prefill_call::decode_result(const tl::expected<http_response, http_failure>& response)
{
    if (!response) {
        this->pool.record_outcome(this->prefill_engine->id, server_outcome::unresponsive);
        return tl::make_unexpected(response.error().cause);
    }
    this->head = this->codec.decode_response_head(this->request, response->status, response->headers);
    const auto execution = judge_execution(this->head);
    if (execution == execution_state::unknown) {
        this->pool.record_outcome(this->prefill_engine->id, server_outcome::failed);
        return fail(result_code::backend_answer_foreign,
                    std::string{name_of(result_code::backend_answer_foreign)} + " from " +
                        this->prefill_engine->id);
    }
    if (response->status != status_ok) {
        this->pool.record_outcome(this->prefill_engine->id, server_outcome::inconclusive);
        const bool is_refused = execution == execution_state::not_executed;
        if (is_refused && this->head.is_misdirected) {
            this->pool.record_misdirected(*this->prefill_engine);
        }
        return fail(is_refused ? result_code::backend_refused : result_code::backend_failed,
                    "prompt not read by " + this->prefill_engine->id);
    }
    this->pool.record_outcome(this->prefill_engine->id, server_outcome::answered);
    return this->codec.decode_kv_cache(this->prefill_engine->address, response->body);
}

} // namespace tanager
