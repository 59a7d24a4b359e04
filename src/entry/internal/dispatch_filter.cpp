#include "entry/internal/dispatch_filter.h"

namespace tanager {

dispatch_filter::dispatch_filter(const dispatch_context& context) : context(context) {}

void dispatch_filter::accept(identified_request request)
{
    ++this->active_requests;
    const auto dispatcher = std::make_shared<request_dispatcher>(
        this->context, std::move(request), [this] { --this->active_requests; });
    dispatcher->start();
}

std::size_t dispatch_filter::active_request_count() const
{
    return this->active_requests;
}

} // namespace tanager
