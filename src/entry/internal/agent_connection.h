#pragma once

#include "base/random_source.h"
#include "entry/internal/grpc_agent_client.h"
#include "entry/internal/grpc_agent_stream.h"
#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <string>

namespace tanager {

// Keeps the exchange with one agent open, reconnecting after a jittered delay.
class agent_link {
public:
    struct notices {
        std::function<void(const protocol::agent_message&)> message;
        std::function<void()> connected; // the first message of a connection is due
        std::function<void()> broken;
    };

    agent_link(event_loop& loop,
               grpc_agent_gateway& gateway,
               random_source& random,
               std::string address,
               notices hears);
    ~agent_link();
    agent_link(const agent_link&) = delete;
    agent_link& operator=(const agent_link&) = delete;
    agent_link(agent_link&&) = delete;
    agent_link& operator=(agent_link&&) = delete;

    void send(const protocol::entry_message& message);

    const std::string& address() const;

private:
    void connect();
    void on_closed();

    event_loop& loop;
    grpc_agent_gateway& gateway;
    random_source& random;
    std::string peer;
    notices hears;
    std::shared_ptr<grpc_exchange_call> call;
    std::unique_ptr<loop_timer> reconnect;
};

} // namespace tanager
