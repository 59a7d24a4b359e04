#pragma once

#include "base/sink.h"
#include "entry/internal/request_dispatcher.h"
#include "entry/types/request_types.h"

namespace tanager {

// Starts a request_dispatcher for each request that the earlier filters have passed on.
class dispatch_filter final : public sink<identified_request> {
public:
    explicit dispatch_filter(const dispatch_context& context);

    void accept(identified_request request) override;

    // Returns the number of requests that have been started and have not ended.
    std::size_t active_request_count() const;

private:
    dispatch_context context;
    std::size_t active_requests = 0;
};

} // namespace tanager
