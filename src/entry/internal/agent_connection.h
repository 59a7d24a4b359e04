#pragma once

#include "base/random_source.h"
#include "entry/internal/grpc_agent_client.h"
#include "entry/internal/grpc_agent_stream.h"
#include "net/event_loop.h"

#include <functional>
#include <memory>
#include <string>

namespace tanager {

// Keeps the exchange stream to one agent open; reconnects after a jittered delay.
class agent_connection {
public:
    struct callbacks {
        std::function<void(const protocol::agent_message&)> on_message;
        std::function<void()> on_connected; // the owner has to send the first message of the connection
        std::function<void()> on_disconnected;
    };

    agent_connection(event_loop& loop,
                     grpc_agent_client& client,
                     random_source& random,
                     std::string address,
                     callbacks handlers);
    ~agent_connection();
    agent_connection(const agent_connection&) = delete;
    agent_connection& operator=(const agent_connection&) = delete;
    agent_connection(agent_connection&&) = delete;
    agent_connection& operator=(agent_connection&&) = delete;

    // Sends a message; dropped while there is no connection.
    void send(const protocol::entry_message& message);

    const std::string& address() const;

private:
    void connect();
    void on_closed();

    event_loop& loop;
    grpc_agent_client& client;
    random_source& random;
    std::string agent_address;
    callbacks handlers;
    std::shared_ptr<grpc_agent_stream> stream;
    std::unique_ptr<loop_timer> reconnect_timer;
};

} // namespace tanager
