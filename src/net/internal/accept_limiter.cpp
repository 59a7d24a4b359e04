#include "net/internal/accept_limiter.h"

#include <event2/listener.h>
#include <fcntl.h>
#include <unistd.h>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds resume_interval{20};

} // namespace

descriptor_gate::descriptor_gate(event_loop& loop, evconnlistener* listener, int highest_descriptor)
    : loop(loop), listener(listener), highest_descriptor(highest_descriptor)
{
}

bool descriptor_gate::is_exhausted() const
{
    const int probe = fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0); // NOLINT(*-vararg)
    if (probe < 0) {
        return true;
    }
    close(probe);
    return probe > this->highest_descriptor;
}

void descriptor_gate::check()
{
    if (this->is_exhausted()) {
        this->pause();
    }
}

void descriptor_gate::pause()
{
    if (this->retry != nullptr) {
        return;
    }
    evconnlistener_disable(this->listener);
    this->retry = this->loop.run_every(resume_interval, [this] { this->try_resume(); });
}

void descriptor_gate::try_resume()
{
    if (this->is_exhausted()) {
        return;
    }
    this->retry.reset();
    evconnlistener_enable(this->listener);
}

} // namespace tanager
