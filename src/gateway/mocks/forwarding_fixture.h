// Test fixture that forwards requests between fake callers and fake backend servers.
#pragma once

#include "base/digest.h"
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "gateway/internal/request_forwarder.h"
#include "gateway/mocks/fake_request_codec.h"
#include "gateway/mocks/fake_server_connector.h"
#include "gateway/mocks/no_peers.h"
#include "net/mocks/fake_client.h"
#include "net/mocks/fake_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

// Forwards requests of the route `orders` to the servers `a` and `b`, with two slots each. Forwarder,
// scheduler, server pool and retry budget are the gateway's own; clock, client, codec and peers are test
// doubles. Timers run on the real event loop.
class forwarding_fixture {
public:
    static constexpr std::size_t response_buffer_bytes = 1'000'000;
    static constexpr double retry_budget_ratio = 1.0;
    static constexpr double retry_reserve = 3;
    static constexpr std::uint64_t gateway_seed = 7;

    forwarding_fixture() : loop(std::move(*event_loop::create()))
    {
        this->active_route.name = "orders";
        this->active_route.services = {{"desk", 1}};
        this->active_route.latency_objective = std::chrono::milliseconds{300};
        this->active_route.max_attempts = 2;
        this->add_server("a", engine_role::none);
        this->add_server("b", engine_role::none);
    }

    void add_server(const std::string& id, engine_role role, std::uint32_t slots = 2)
    {
        backend_server server;
        server.id = id;
        server.service = "desk";
        server.address = {"10.0.0." + std::to_string(id.front()), 80};
        server.slots = slots;
        server.role = role;
        this->pool.servers().apply({id, server});
    }

    void remove_server(const std::string& id)
    {
        this->pool.servers().apply({id, std::nullopt});
    }

    slot_request short_prompt_request() const
    {
        slot_request request;
        request.service = "desk";
        request.is_model = true;
        request.prompt = {0, 0, 200, 10};
        request.start_deadline = this->time.now() + std::chrono::seconds{1};
        request.first_event_deadline = this->time.now() + std::chrono::seconds{1};
        return request;
    }

    std::shared_ptr<fake_exchange> send(duration time_left = std::chrono::seconds{10},
                                        std::optional<std::chrono::milliseconds> caller_timeout = {},
                                        const std::string& id = "r1")
    {
        auto exchange = std::make_shared<fake_exchange>(http_request{"POST", "/x", {{"id", id}}, "body"});
        exchange->caller_left = this->next_caller_has_left;
        caller_request request;
        request.id = id;
        request.traits = {hash64(id), this->prompt_parts};
        request.prompt = this->prompt;
        request.caller_timeout = caller_timeout;
        const auto now = this->time.now();
        const auto forwarder = std::make_shared<request_forwarder>(
            forwarding_context{this->loop_ref(),
                               this->time,
                               this->metrics,
                               this->codec,
                               this->client,
                               this->pool,
                               this->scheduler,
                               this->retries,
                               this->demand,
                               this->uplink_queue,
                               this->caller_timeouts,
                               this->response_buffer_budget,
                               this->quarantine},
            routed_request{exchange,
                           request,
                           std::make_shared<const route>(this->active_route),
                           "desk",
                           this->is_model,
                           {},
                           1,
                           now,
                           now + time_left},
            [this] { ++this->finished_requests; });
        forwarder->start();
        return exchange;
    }

    event_loop& loop_ref() const
    {
        return *this->loop;
    }

    fake_client::fake_call& call(std::size_t index)
    {
        CPPUNIT_ASSERT(index < this->client.calls.size());
        return *this->client.calls[index];
    }

    static std::string server_of(const fake_client::fake_call& call)
    {
        return find_header(call.request.headers, "server");
    }

    std::unique_ptr<event_loop> loop;
    manual_clock time;
    seeded_random random{gateway_seed};
    metrics_registry metrics;
    fake_request_codec codec;
    fake_client client;
    no_peers peers;
    server_pool pool{time, "here", std::chrono::seconds{2}, peers};
    uplink_queue_model uplink_queue{time, 0};
    caller_timeout_tracker caller_timeouts;
    byte_budget response_buffer_budget{response_buffer_bytes};
    demand_meter demand{time};
    request_scheduler scheduler{time, random, pool, uplink_queue, demand};
    fake_server_connector connector;
    crash_quarantine quarantine{time, metrics, connector};
    retry_budget retries{retry_budget_ratio, retry_reserve};
    route active_route;
    prompt_shape prompt;
    std::vector<std::uint64_t> prompt_parts; // fingerprints
    bool is_model = false;
    bool next_caller_has_left = false; // before its request was read
    int finished_requests = 0;
};

} // namespace tanager
