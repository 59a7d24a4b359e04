#pragma once

#include "base/clock.h"
#include "base/sink.h"
#include "catalogue/catalogue.h"
#include "entry/types/request_types.h"
#include "metrics/metrics_registry.h"

namespace tanager {

// First filter: authenticates the caller, finds the work entry and pool, and estimates the cost in pieces.
class identify_filter final : public sink<received_request> {
public:
    identify_filter(const catalogue& local_catalogue,
                    const clock& time,
                    metrics_registry& metrics,
                    sink<identified_request>& next);

    void accept(received_request request) override;

private:
    result<identified_request> identify(const received_request& request) const;
    result<identified_request> identify_completion(identified_request draft, bool is_chat) const;
    result<identified_request> identify_service(identified_request draft) const;
    result<void>
    resolve_work(identified_request& draft, const std::string& work_name, pool_kind required_kind) const;
    result<void> authenticate_caller(identified_request& draft) const;

    const catalogue& local_catalogue;
    const clock& time;
    metrics_registry& metrics;
    sink<identified_request>& next;
};

} // namespace tanager
