#pragma once

#include "base/sink.h"
#include "entry/internal/request_dispatcher.h"
#include "entry/types/request_types.h"

namespace tanager {

// Starts a run for each request that the filters before it let through.
class dispatch_filter final : public sink<identified_request> {
public:
    explicit dispatch_filter(const dispatch_context& context);

    void accept(identified_request request) override;

    // Returns the requests under way.
    std::size_t active_request_count() const;

private:
    dispatch_context context;
    std::size_t active_requests = 0;
};

} // namespace tanager
