#include "entry/internal/quarantine_filter.h"

#include "base/digest.h"
#include "entry/internal/error_response.h"

namespace tanager {

namespace {

std::uint64_t fingerprint_of(const identified_request& request)
{
    const std::uint64_t work = hash64(request.work->name, hash64(request.member->name));
    return hash64(request.backend_message->body, hash64(request.backend_message->path, work));
}

} // namespace

quarantine_filter::quarantine_filter(const crash_history& crashes,
                                     metrics_registry& metrics,
                                     sink<identified_request>& next)
    : crashes(crashes), metrics(metrics), next(next)
{
}

void quarantine_filter::accept(identified_request request)
{
    request.fingerprint = fingerprint_of(request);
    if (this->crashes.verdict_of(request.fingerprint) == quarantine_verdict::quarantined) {
        send_error_response(request.received,
                            {result_code::request_quarantined, "it was running at two crashes"},
                            request_outcome::not_run,
                            this->metrics);
        return;
    }
    this->next.accept(std::move(request));
}

} // namespace tanager
