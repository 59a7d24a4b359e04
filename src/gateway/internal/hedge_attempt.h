#pragma once

#include "gateway/internal/detachable_response_handler.h"
#include "gateway/internal/request_forwarder.h"
#include "limits/bounded_text.h"

#include <functional>
#include <memory>

namespace tanager {

// A second attempt at a request, on another server, while the first one has not been answered. It has its own
// slot, call and response, and knows nothing of the first attempt. For requests whose response is forwarded
// as a whole.
class hedge_attempt final : public response_listener, public std::enable_shared_from_this<hedge_attempt> {
public:
    // A complete, successful response.
    struct answer {
        response_info head;
        http_headers headers; // to be forwarded to the caller
        std::string body;
        duration latency{0}; // from sending to the head
    };

    // Exactly one of the two is called, unless the attempt is cancelled.
    struct callbacks {
        std::function<void(const answer&)> answered;
        // Without a success; whether the request has been executed nevertheless.
        std::function<void(execution_state)> failed;
    };

    // `request` must outlive the attempt. The slot of `grant` is released when the attempt ends.
    hedge_attempt(const forwarding_context& context,
                  const routed_request& request,
                  slot_request requested_slot,
                  slot_grant grant,
                  callbacks listener);

    // The attempt fails as not executed if it has no connection after `connect_timeout`.
    void start(const attempt_options& attempt,
               const http_call_options& options,
               std::chrono::milliseconds connect_timeout);

    // Ends the attempt because its response is no longer needed.
    void cancel();

    const backend_server& server() const;
    duration elapsed() const;

    response_owner find_owner(int status, const http_headers& headers) override;
    void on_response_head(int status, const http_headers& headers) override;
    void on_response_data(std::string_view data) override;
    void on_response_end() override;
    void on_attempt_failure(const http_failure& failure) override;

private:
    void on_connect_timeout();
    void give_up(server_outcome outcome, execution_state executed);
    void end(server_outcome outcome);
    void record_completion();
    running_request running() const;

    forwarding_context context;
    const routed_request& request;
    slot_request requested_slot;
    slot_grant grant;
    callbacks listener;
    std::shared_ptr<detachable_response_handler> handler;
    std::shared_ptr<http_call> call;
    std::unique_ptr<loop_timer> connect_timer;
    time_point sent_at;
    time_point waiting_since; // for the next bytes
    duration latency{0};
    response_info response;
    execution_state execution = execution_state::unknown;
    bool is_framed_response = false;
    http_headers headers;
    bounded_text body;
};

} // namespace tanager
