#include "entry/internal/claim_filter.h"

#include "base/digest.h"
#include "base/text.h"
#include "entry/internal/error_response.h"
#include "logging/event_log.h"

namespace tanager {

namespace {

constexpr std::size_t digest_characters = 32;

std::string short_digest(const std::string& text)
{
    return sha256_hex(text).substr(0, digest_characters);
}

// Records the outcome of a claimed request in its claim.
class claim_recorder final : public outcome_listener {
public:
    claim_recorder(claim_registry& claims, claim_request claim) : claims(claims), claim(std::move(claim)) {}

    void on_complete(int status, const std::string& content_type, const std::string& body) override
    {
        const auto answer =
            body.empty() ? std::nullopt : std::optional<claim_answer>({status, content_type, body});
        this->claims.record_outcome(this->claim, claim_state::complete, answer);
        write_event(log_event::claim_recorded, {{"key", this->claim.key_digest}, {"state", "complete"}});
    }

    void on_incomplete(request_outcome outcome) override
    {
        if (outcome == request_outcome::not_run) {
            this->claims.release(this->claim);
            return;
        }
        this->claims.record_outcome(this->claim, claim_state::unknown, std::nullopt);
        write_event(log_event::claim_recorded, {{"key", this->claim.key_digest}, {"state", "unknown"}});
    }

private:
    claim_registry& claims;
    claim_request claim;
};

} // namespace

claim_filter::claim_filter(claim_registry& claims,
                           std::uint64_t incarnation,
                           metrics_registry& metrics,
                           sink<identified_request>& next)
    : claims(claims), incarnation(incarnation), metrics(metrics), next(next)
{
}

claim_request claim_filter::make_claim(const identified_request& request)
{
    // A line break occurs in none of the parts of the key.
    const std::string key = request.member->name + "\n" + request.work->name + "\n" + request.idempotency_key;
    const std::string content = request.backend_message->method + "\n" + request.backend_message->path +
                                "\n" + request.backend_message->body;
    return {short_digest(key),
            short_digest(content),
            to_hex(this->incarnation) + "-" + std::to_string(++this->last_claim_number)};
}

void claim_filter::accept(identified_request request)
{
    const bool needs_claim = !request.work->idempotent && !request.idempotency_key.empty();
    if (!needs_claim) {
        this->next.accept(std::move(request));
        return;
    }
    ++this->pending_claims;
    const auto claim = this->make_claim(request);
    this->claims.claim(claim, [this, request = std::move(request), claim](const claim_result& result) {
        --this->pending_claims;
        this->on_claimed(request, claim, result);
    });
}

void claim_filter::on_claimed(identified_request request,
                              const claim_request& claim,
                              const claim_result& result)
{
    switch (result.outcome) {
    case claim_outcome::granted:
        request.claim = {result.shard, result.window};
        request.outcome_handler = std::make_shared<claim_recorder>(this->claims, claim);
        this->next.accept(std::move(request));
        return;
    case claim_outcome::already_claimed:
        this->answer_duplicate(request, *result.existing_claim);
        return;
    case claim_outcome::key_reused:
        this->reject(request,
                     {result_code::claim_key_reused, "the key stands for another request"},
                     request_outcome::not_run);
        return;
    case claim_outcome::table_full:
        this->reject(request,
                     {result_code::claim_store_full, "too many keys are claimed at present"},
                     request_outcome::not_run);
        return;
    case claim_outcome::store_unavailable:
        this->reject(request,
                     {result_code::claim_store_unavailable, "the key cannot be claimed at present"},
                     request_outcome::not_run);
        return;
    }
}

void claim_filter::answer_duplicate(const identified_request& request, const claim_record& existing_claim)
{
    this->metrics.increment_counter("tanager_resends_total");
    if (existing_claim.state == claim_state::complete && existing_claim.answer) {
        this->replay(request, *existing_claim.answer);
    } else if (existing_claim.state == claim_state::complete) {
        this->reject(request,
                     {result_code::claim_answer_not_kept, "the request ran; its answer was not kept"},
                     request_outcome::complete);
    } else if (existing_claim.state == claim_state::running) {
        this->reject(request,
                     {result_code::claim_in_progress, "the first request under this key may be running"},
                     request_outcome::unknown);
    } else {
        this->reject(request,
                     {result_code::claim_outcome_unknown, "the first request under this key may have run"},
                     request_outcome::unknown);
    }
}

void claim_filter::replay(const identified_request& request, const claim_answer& answer)
{
    http_headers headers{{"X-Request-Id", request.received.request_id},
                         {"Tanager-Outcome", std::string{name_of(request_outcome::complete)}},
                         {"Tanager-Replayed", "true"}};
    if (!answer.content_type.empty()) {
        headers.push_back({"Content-Type", answer.content_type});
    }
    request.received.exchange->send_response({answer.status, headers, answer.body});
}

void claim_filter::reject(const identified_request& request, const error& cause, request_outcome outcome)
{
    send_error_response(request.received, cause, outcome, this->metrics);
}

std::size_t claim_filter::pending_claim_count() const
{
    return this->pending_claims;
}

} // namespace tanager
