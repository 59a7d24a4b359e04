#include "entry/internal/agent_connection.h"

namespace tanager {

namespace {

constexpr std::uint64_t min_reconnect_delay_ms = 50;
constexpr std::uint64_t max_reconnect_jitter_ms = 150;

} // namespace

agent_connection::agent_connection(event_loop& loop,
                                   grpc_agent_client& client,
                                   random_source& random,
                                   std::string address,
                                   callbacks handlers)
    : loop(loop),
      client(client),
      random(random),
      agent_address(std::move(address)),
      handlers(std::move(handlers))
{
    // Connects from the loop: connect() calls back into the owner, which is still under construction.
    this->reconnect_timer = this->loop.run_after({}, [this] { this->connect(); });
}

agent_connection::~agent_connection()
{
    if (this->stream != nullptr) {
        this->stream->close();
    }
}

void agent_connection::connect()
{
    this->stream = std::make_shared<grpc_agent_stream>(
        [this](const protocol::agent_message& message) { this->handlers.on_message(message); },
        [this] { this->on_closed(); });
    this->stream->start(this->loop, this->client.stub_of(this->agent_address));
    this->handlers.on_connected();
}

void agent_connection::on_closed()
{
    this->stream.reset();
    const std::chrono::milliseconds delay{
        static_cast<std::int64_t>(min_reconnect_delay_ms + this->random.next() % max_reconnect_jitter_ms)};
    this->reconnect_timer = this->loop.run_after(delay, [this] { this->connect(); });
    this->handlers.on_disconnected();
}

void agent_connection::send(const protocol::entry_message& message)
{
    if (this->stream != nullptr) {
        this->stream->send(message);
    }
}

const std::string& agent_connection::address() const
{
    return this->agent_address;
}

} // namespace tanager
