#include "entry/internal/dispatch_filter.h"

namespace tanager {

run_filter::run_filter(const run_context& context) : context(context) {}

void run_filter::accept(identified_request request)
{
    ++this->running_requests;
    const auto run = std::make_shared<request_run>(
        this->context, std::move(request), [this] { --this->running_requests; });
    run->start();
}

std::size_t run_filter::running() const
{
    return this->running_requests;
}

} // namespace tanager
