// An HTTP client for tests that runs its own event loop while it waits for responses.
#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace tanager::testing {

// A response that is in progress, complete or failed.
struct async_response {
    std::optional<http_response> response;
    std::optional<http_failure> failure;
    std::string body_so_far; // grows while the response arrives
    std::chrono::steady_clock::time_point finished_at;
    std::shared_ptr<http_call> call;

    bool is_finished() const;
};

class test_client {
public:
    test_client();

    // Starts a call on a connection of its own; it fails after 60 s without data.
    std::shared_ptr<async_response> start(const std::string& address, const http_request& request);

    // Starts a call whose response is stored in `result`.
    void start_with(const std::shared_ptr<async_response>& result,
                    const std::string& address,
                    const http_request& request,
                    const http_call_options& options);

    // Runs the event loop until `condition` holds; throws after 60 s.
    void run_until(const std::function<bool()>& condition);

    // Makes a call and waits for the response; throws if the call fails.
    http_response fetch(const std::string& address, const http_request& request);

    http_response get(const std::string& address, const std::string& path);
    http_response post(const std::string& address, const std::string& path, const std::string& body = {});

    // Requests a page repeatedly until the response satisfies `condition`; throws after 60 s.
    void poll_until(const std::string& address,
                    const std::string& path,
                    const std::function<bool(const http_response&)>& condition);

    event_loop& loop();

private:
    std::unique_ptr<event_loop> own_loop;
    std::unique_ptr<http_client> client;
};

// Builds a completion request for the work entry `work` with `key` as bearer token; `tokens` is max_tokens.
http_request make_completion_request(const std::string& key,
                                     const std::string& work,
                                     const std::string& prompt,
                                     std::uint32_t tokens,
                                     bool stream);

// Builds a request to the plain service `work`. An empty `idempotency_key` sends no such header.
http_request make_service_request(const std::string& key,
                                  const std::string& work,
                                  const std::string& body,
                                  const std::string& idempotency_key = {});

// Returns the generated text of a completion, streamed (text/event-stream) or not.
std::string completion_text(const http_response& reply);

// Returns the value of a series, given by name and labels, on a /metrics page; 0 if it is missing.
double metric_value(const http_response& page, const std::string& series);

} // namespace tanager::testing
