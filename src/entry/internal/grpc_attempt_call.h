#pragma once

#include "entry/agent_client.h"
#include "net/event_loop.h"

#include <memory>
#include <tanager.grpc.pb.h>

namespace tanager {

class grpc_attempt_reactor;

// One dispatch call, used on the loop's thread. A hold keeps the reactor alive until no further read is
// started.
class grpc_attempt_call final : public attempt_call, public std::enable_shared_from_this<grpc_attempt_call> {
public:
    explicit grpc_attempt_call(std::shared_ptr<response_listener> listener);

    void
    start(event_loop& loop, protocol::agent_service::Stub& stub, const protocol::dispatch_request& request);

    void read_next() override;
    void cancel() override;

    // Called on the loop's thread when a read of the reactor has completed.
    void on_read_done(bool succeeded);

private:
    void release_hold();

    grpc_attempt_reactor* reactor = nullptr;
    std::shared_ptr<response_listener> listener;
    protocol::answer_frame frame;
    bool is_reading = false;
};

} // namespace tanager
