// A caller that drives its own loop until its answers are there.
#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tanager::testing {

// An answer under way or received.
struct async_response {
    std::optional<http_response> reply;
    std::optional<http_failure> failure;
    std::string body_so_far; // the body so far
    std::chrono::steady_clock::time_point settled_at;
    std::shared_ptr<http_call> call;

    bool is_settled() const;
};

class test_client {
public:
    test_client();

    // Starts a call on a connection of its own.
    std::shared_ptr<async_response> start(const std::string& address, const http_request& request);

    // Starts a call whose answer goes into `answer`.
    void start_with(const std::shared_ptr<async_response>& result,
                    const std::string& address,
                    const http_request& request,
                    const http_call_options& options);

    // Serves events until a condition holds; throws after a minute.
    void run_until(const std::function<bool()>& condition);

    // Makes a call and waits for its answer; throws when the connection fails.
    http_response fetch(const std::string& address, const http_request& request);

    http_response get(const std::string& address, const std::string& path);
    http_response post(const std::string& address, const std::string& path, const std::string& body = {});

    // Asks for a page again and again until its body satisfies a condition.
    void poll_until(const std::string& address,
                    const std::string& path,
                    const std::function<bool(const http_response&)>& condition);

    event_loop& loop();

private:
    std::unique_ptr<event_loop> own_loop;
    std::unique_ptr<http_client> client;
};

// Returns a streamed or whole completion request.
http_request make_completion_request(const std::string& key,
                                     const std::string& work,
                                     const std::string& prompt,
                                     std::uint32_t tokens,
                                     bool stream);

// Returns a call of a plain service.
http_request make_service_request(const std::string& key,
                                  const std::string& work,
                                  const std::string& body,
                                  const std::string& idempotency_key = {});

// Returns the generated text in a streamed or whole completion.
std::string completion_text(const http_response& reply);

// Returns the number that follows a series' name in a /metrics page; 0 when it is not there.
double metric_value(const http_response& page, const std::string& series);

} // namespace tanager::testing
