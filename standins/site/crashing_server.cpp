#include "standins/site/crashing_server.h"

#include "logging/event_log.h"

#include <csignal>
#include <cstdlib>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanager::standin {

crashing_server::crashing_server(event_loop& loop, std::string id, std::string crash_body, crash_mode mode)
    : server(loop, std::move(id)), crash_body(std::move(crash_body)), mode(mode)
{
}

void crashing_server::serve(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& request = exchange->request();
    const bool is_fatal = request.body.empty() ? request.path.find(this->crash_body) != std::string::npos
                                               : request.body == this->crash_body;
    if (is_fatal) {
        write_event(log_event::fault_switched, {{"kind", "crash"}, {"path", request.path}});
        this->crash();
    }
    this->server.serve(exchange);
}

void crashing_server::crash() const
{
    if (this->mode == crash_mode::silent) {
        static_cast<void>(raise(SIGSTOP));
    }
    if (this->mode == crash_mode::reset) {
        rlimit descriptors{};
        getrlimit(RLIMIT_NOFILE, &descriptors);
        // Sockets that do not linger are reset when the process ends; other descriptors refuse the option.
        const linger no_linger{1, 0};
        for (int descriptor = 0; descriptor < static_cast<int>(descriptors.rlim_cur); ++descriptor) {
            static_cast<void>(setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger)));
        }
    }
    _exit(1);
}

} // namespace tanager::standin
