#include "entry/internal/agent_connection.h"

namespace tanager {

namespace {

constexpr std::uint64_t shortest_reconnect_ms = 50;
constexpr std::uint64_t reconnect_jitter_ms = 150;

} // namespace

agent_link::agent_link(
    event_loop& loop, grpc_agent_gateway& gateway, random_source& random, std::string address, notices hears)
    : loop(loop), gateway(gateway), random(random), peer(std::move(address)), hears(std::move(hears))
{
    // Connecting calls back into the owner, which is still being built.
    this->reconnect = this->loop.run_after({}, [this] { this->connect(); });
}

agent_link::~agent_link()
{
    if (this->call != nullptr) {
        this->call->close();
    }
}

void agent_link::connect()
{
    this->call = std::make_shared<grpc_exchange_call>(
        [this](const protocol::agent_message& message) { this->hears.message(message); },
        [this] { this->on_closed(); });
    this->call->start(this->loop, this->gateway.stub_of(this->peer));
    this->hears.connected();
}

void agent_link::on_closed()
{
    this->call.reset();
    const std::chrono::milliseconds pause{
        static_cast<std::int64_t>(shortest_reconnect_ms + this->random.next() % reconnect_jitter_ms)};
    this->reconnect = this->loop.run_after(pause, [this] { this->connect(); });
    this->hears.broken();
}

void agent_link::send(const protocol::entry_message& message)
{
    if (this->call != nullptr) {
        this->call->send(message);
    }
}

const std::string& agent_link::address() const
{
    return this->peer;
}

} // namespace tanager
