#include "standins/site/crashing_server.h"

#include "base/text.h"
#include "logging/event_log.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanager::standin {

namespace {

// A model needs a while until it begins to write, and requests beside it run meanwhile.
constexpr std::chrono::milliseconds time_to_answer{20};
constexpr std::chrono::milliseconds time_after_first_event{4};
constexpr int status_ok = 200;

} // namespace

crashing_server::crashing_server(event_loop& loop, std::string id, crash_options options)
    : loop(loop), server(loop, std::move(id)), options(std::move(options))
{
}

bool crashing_server::is_fatal(const http_request& request) const
{
    return request.body.empty() ? request.path.find(this->options.body) != std::string::npos
                                : request.body.starts_with(this->options.body);
}

bool crashing_server::has_crash_part(const http_request& request) const
{
    const auto parts = split_list(find_header(request.headers, "Prompt-Prefix"));
    return std::ranges::any_of(parts, [this](const std::string& part) {
        return std::ranges::find(this->options.prompt_parts, part.substr(0, part.find(':'))) !=
               this->options.prompt_parts.end();
    });
}

void crashing_server::begin_answer(const std::shared_ptr<http_exchange>& exchange)
{
    if (exchange->request().path.starts_with("/stream/")) {
        exchange->start(status_ok,
                        {{"Attempt-Id", find_header(exchange->request().headers, "Attempt-Id")},
                         {"Response-Seal", "seal"}});
        exchange->write("id: 1\ndata: x\n\nid: 2\nda");
    }
    this->crash_after(time_after_first_event);
}

void crashing_server::run_fatal(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->options.mode == crash_mode::midway) {
        exchange->start(status_ok,
                        {{"Attempt-Id", find_header(exchange->request().headers, "Attempt-Id")},
                         {"Response-Seal", "seal"},
                         {"Content-Length", "100"}});
        exchange->write("the first part");
        this->crash_after(time_after_first_event);
        return;
    }
    this->crash();
}

void crashing_server::crash_after(std::chrono::milliseconds delay)
{
    this->crash_timer = this->loop.run_after(delay, [this] { this->crash(); });
}

void crashing_server::serve(const std::shared_ptr<http_exchange>& exchange)
{
    const auto& request = exchange->request();
    if (this->is_fatal(request)) {
        write_event(log_event::fault_switched, {{"kind", "crash"}, {"path", request.path}});
        if (this->options.run_time.count() == 0) {
            this->run_fatal(exchange);
            return;
        }
        if (this->crash_timer == nullptr) {
            this->crash_timer =
                this->loop.run_after(this->options.run_time, [this, exchange] { this->run_fatal(exchange); });
        }
        return;
    }
    if (this->has_crash_part(request)) {
        write_event(log_event::fault_switched, {{"kind", "crash"}, {"path", request.path}});
        if (this->crash_timer == nullptr) {
            this->crash_timer =
                this->loop.run_after(time_to_answer, [this, exchange] { this->begin_answer(exchange); });
        }
        return;
    }
    this->server.serve(exchange);
}

void crashing_server::crash() const
{
    if (this->options.mode == crash_mode::silent) {
        static_cast<void>(raise(SIGSTOP));
    }
    if (this->options.mode == crash_mode::reset || this->options.mode == crash_mode::midway) {
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
