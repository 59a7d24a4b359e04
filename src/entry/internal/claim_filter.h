#pragma once

#include "base/random_source.h"
#include "base/sink.h"
#include "claims/claim_registry.h"
#include "entry/types/request_types.h"
#include "metrics/metrics_registry.h"

namespace tanager {

// Passes on a non-idempotent request with an idempotency key only after the key has been claimed, and
// responds to a resend with the recorded state of the first request. Other requests pass unchanged.
class claim_filter final : public sink<identified_request> {
public:
    claim_filter(claim_registry& claims,
                 std::uint64_t incarnation,
                 metrics_registry& metrics,
                 sink<identified_request>& next);

    void accept(identified_request request) override;

    // Returns the number of requests whose claim waits for the store.
    std::size_t pending_claim_count() const;

private:
    claim_request make_claim(const identified_request& request);
    void on_claimed(identified_request request, const claim_request& claim, const claim_result& result);
    void answer_duplicate(const identified_request& request, const claim_record& existing_claim);
    void replay(const identified_request& request, const claim_answer& answer);
    void reject(const identified_request& request, const error& cause, request_outcome outcome);

    claim_registry& claims;
    std::uint64_t incarnation;
    metrics_registry& metrics;
    sink<identified_request>& next;
    std::uint64_t last_claim_number = 0;
    std::size_t pending_claims = 0;
};

} // namespace tanager
