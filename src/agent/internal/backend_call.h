#pragma once

#include "agent/internal/response_validator.h"
#include "agent/types/dispatched_attempt.h"
#include "answers/answer_framer.h"
#include "base/clock.h"
#include "metrics/metrics_registry.h"
#include "net/event_loop.h"
#include "net/http_client.h"

#include <functional>
#include <memory>

namespace tanager {

// The result of one backend call.
struct backend_call_result {
    result<void> status;
    bool not_run = false;       // the backend server never received the request
    std::uint64_t crash_id = 0; // identifies the crash that ended the call; 0 for none
};

// Runs one attempt on the backend server and converts the HTTP response into answer frames.
class backend_call final : public http_response_handler, public std::enable_shared_from_this<backend_call> {
public:
    using done_callback = std::function<void(const dispatched_attempt&, const backend_call_result&)>;

    // Determines whether the connection broke because the backend server crashed; calls back with the crash's
    // id, or 0 if it did not.
    using crash_lookup = std::function<void(std::function<void(std::uint64_t crash)>)>;

    // `is_model`: the backend server is a model engine, so its response is validated as JSON or an event
    // stream and a 5xx status is a failure of the attempt. Responses of plain services pass unchecked.
    backend_call(event_loop& loop,
                 const clock& time,
                 metrics_registry& metrics,
                 dispatched_attempt work,
                 bool is_model,
                 crash_lookup lookup_crash,
                 done_callback done);

    void start(http_client& client, const socket_address& backend);

    void on_head(int status, const http_headers& headers) override;
    void on_data(std::string_view data) override;
    void on_end() override;
    void on_failure(const http_failure& failure) override;

private:
    http_request make_request() const;
    void on_cancelled();
    void on_deadline();
    void abort(const error& cause);
    void finish(const backend_call_result& outcome);
    void record_token_latency();

    event_loop& loop;
    const clock& time;
    metrics_registry& metrics;
    dispatched_attempt work;
    bool is_model;
    crash_lookup lookup_crash;
    done_callback done;
    answer_framer framer;
    response_validator validator;
    std::shared_ptr<http_call> call;
    std::unique_ptr<loop_timer> deadline_timer;
    time_point started_at;
    time_point last_data_at;
    bool is_awaiting_first_data = true;
    bool is_paused = false;
    bool has_ended = false;
};

} // namespace tanager
