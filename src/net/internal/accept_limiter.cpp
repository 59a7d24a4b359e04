#include "net/internal/accept_limiter.h"

#include <event2/listener.h>
#include <fcntl.h>
#include <unistd.h>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds resume_check_interval{20};

} // namespace

accept_limiter::accept_limiter(event_loop& loop, evconnlistener* listener, int max_descriptor)
    : loop(loop), listener(listener), max_descriptor(max_descriptor)
{
}

bool accept_limiter::is_exhausted() const
{
    const int lowest_free = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0); // NOLINT(*-vararg)
    if (lowest_free < 0) {
        return true;
    }
    close(lowest_free);
    return lowest_free > this->max_descriptor;
}

void accept_limiter::pause_if_exhausted()
{
    if (this->is_exhausted()) {
        this->pause();
    }
}

void accept_limiter::pause()
{
    if (this->resume_timer != nullptr) {
        return;
    }
    evconnlistener_disable(this->listener);
    this->resume_timer = this->loop.run_every(resume_check_interval, [this] { this->try_resume(); });
}

void accept_limiter::try_resume()
{
    if (this->is_exhausted()) {
        return;
    }
    this->resume_timer.reset();
    evconnlistener_enable(this->listener);
}

} // namespace tanager
