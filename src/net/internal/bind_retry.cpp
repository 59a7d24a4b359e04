#include "net/internal/bind_retry.h"

#include "logging/event_log.h"

#include <csignal>
#include <thread>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds retry_interval{50};

bool is_stop_pending()
{
    sigset_t pending;
    return sigpending(&pending) == 0 && sigismember(&pending, SIGTERM) == 1;
}

} // namespace

bool bind_with_retry(const std::string& address,
                     std::chrono::milliseconds max_wait,
                     const std::function<bool()>& try_bind)
{
    for (std::chrono::milliseconds waited{0};; waited += retry_interval) {
        if (try_bind()) {
            return true;
        }
        if (waited >= max_wait || is_stop_pending()) {
            return false;
        }
        if (waited.count() == 0) {
            write_event(log_event::address_in_use,
                        {{"address", address}, {"max_wait_ms", std::to_string(max_wait.count())}});
        }
        std::this_thread::sleep_for(retry_interval);
    }
}

} // namespace tanager
