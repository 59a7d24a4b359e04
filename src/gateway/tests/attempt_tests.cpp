// Tests, with servers that misbehave at random, that a request runs on no more servers than its route allows,
// that a request rejected as not run has not run, and that retries stay within their budget.
#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr double retry_budget_ratio = 0.5;
constexpr std::size_t requests_per_run = 200;
// Long enough for a stream to stall twice and be moved each time.
constexpr auto request_timeout = 3s;

// What a server does with a call.
enum class server_behaviour {
    respond,
    refuse,
    misdirect, // refuses with 421, as a server that the request was not meant for
    unreachable,
    lose_connection, // may have run the request
    respond_to_another_request,
    break_stream, // after an event
    stall_stream, // after an event
    never_respond,
    behaviour_count
};

struct route_case {
    route_kind kind = route_kind::idempotent;
    bool is_resumable = false;
    std::uint32_t max_servers = 2;
    bool is_model = false;
    bool has_silent_servers = true;
};

// Forwards requests to servers that handle each call in a random way, and counts the executions, prefills and
// arrivals of each request.
class misbehaving_servers {
public:
    // `retries` is the budget of the gateway, of which requests may earn more.
    misbehaving_servers(std::uint64_t seed, const route_case& route_under_test, const retry_budget& retries)
        : random(seed), route_under_test(route_under_test), retries(retries)
    {
        this->gateway.retries = retries;
        this->gateway.is_model = route_under_test.is_model;
        auto& route = this->gateway.active_route;
        route.kind = route_under_test.kind;
        route.is_resumable = route_under_test.is_resumable;
        route.max_attempts = route_under_test.max_servers;
        route.latency_objective = 100ms;
        for (const auto* const id : {"a", "b"}) {
            this->gateway.remove_server(id);
        }
        const auto role = route_under_test.is_model ? engine_role::decode : engine_role::none;
        for (const auto* const id : {"c", "d", "e", "f"}) {
            this->gateway.add_server(id, role, requests_per_run);
        }
        if (route_under_test.is_model) {
            this->gateway.prompt = {5, 6'000, 3'000, 10};
            this->gateway.add_server("p", engine_role::prefill, requests_per_run);
            this->gateway.add_server("q", engine_role::prefill, requests_per_run);
        }
    }

    // Sends all requests and runs the event loop until each has ended.
    void run_requests(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            const auto id = "r" + std::to_string(index);
            this->exchanges.emplace(id, this->gateway.send(request_timeout, {}, id));
            this->handle_new_calls();
        }
        while (this->gateway.finished_requests < static_cast<int>(count)) {
            this->gateway.loop->run_once();
            this->gateway.time.advance(1ms);
            this->gateway.scheduler.process_queues();
            this->handle_new_calls();
        }
    }

    void check_limits() const
    {
        std::size_t repeated_arrivals = 0;
        for (const auto& [id, exchange] : this->exchanges) {
            const auto found = this->counts_by_request.find(id);
            const auto counts = found == this->counts_by_request.end() ? call_counts{} : found->second;
            const std::uint32_t max_executions =
                this->gateway.active_route.is_repeatable() ? this->route_under_test.max_servers : 1;
            CPPUNIT_ASSERT_MESSAGE(id + " ran on " + std::to_string(counts.executions) + " servers",
                                   counts.executions <= max_executions);
            const bool is_rejected = exchange->sent_response.status == 503;
            CPPUNIT_ASSERT_MESSAGE(id + " was rejected as not run, but may have run",
                                   !is_rejected || counts.executions == 0);
            repeated_arrivals += counts.arrivals > 0 ? counts.arrivals - 1 : 0;
        }
        const auto& allowance = this->retries.allowance();
        const auto earned_retries =
            allowance.retries_per_request * static_cast<double>(this->exchanges.size());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(repeated_arrivals) + " repeated arrivals",
                               static_cast<double>(repeated_arrivals) <=
                                   earned_retries + allowance.max_balance);
    }

private:
    struct call_counts {
        std::uint32_t executions = 0; // on servers that may have run the request
        std::uint32_t prefills = 0;   // accepted by a server
        std::uint32_t arrivals = 0;   // at servers, without the first accepted prefill, which costs no retry
    };

    void handle_new_calls()
    {
        for (; this->handled_call_count < this->gateway.client.calls.size(); ++this->handled_call_count) {
            this->handle_call(*this->gateway.client.calls[this->handled_call_count]);
        }
    }

    server_behaviour draw_behaviour()
    {
        for (;;) {
            const auto behaviour = static_cast<server_behaviour>(
                this->random.next() % static_cast<std::uint64_t>(server_behaviour::behaviour_count));
            const bool is_silent =
                behaviour == server_behaviour::stall_stream || behaviour == server_behaviour::never_respond;
            if (!is_silent || this->route_under_test.has_silent_servers) {
                return behaviour;
            }
        }
    }

    void handle_call(fake_client::fake_call& call)
    {
        const auto id = find_header(call.request.headers, "id");
        if (id.empty()) {
            return; // releases a KV cache
        }
        const auto behaviour = this->draw_behaviour();
        auto& counts = this->counts_by_request[id];
        const bool is_prefill = !find_header(call.request.headers, "prefill-only").empty();
        const bool is_accepted = behaviour != server_behaviour::refuse &&
                                 behaviour != server_behaviour::misdirect &&
                                 behaviour != server_behaviour::unreachable;
        const bool is_first_prefill = is_prefill && is_accepted && counts.prefills == 0;
        counts.prefills += is_prefill && is_accepted ? 1 : 0;
        counts.executions += is_accepted && !is_first_prefill ? 1 : 0;
        counts.arrivals += behaviour != server_behaviour::unreachable && !is_first_prefill ? 1 : 0;
        if (is_prefill) {
            handle_prefill(call, behaviour, id);
            return;
        }
        this->handle_attempt(call, behaviour, id);
    }

    static void
    handle_prefill(fake_client::fake_call& call, server_behaviour behaviour, const std::string& id)
    {
        switch (behaviour) {
        case server_behaviour::refuse:
        case server_behaviour::misdirect:
            call.respond(503, {{"not-run", "1"}}, {});
            return;
        case server_behaviour::unreachable:
            call.fail(call_progress::not_sent);
            return;
        case server_behaviour::lose_connection:
        case server_behaviour::break_stream:
            call.fail(call_progress::maybe_sent);
            return;
        case server_behaviour::stall_stream:
        case server_behaviour::never_respond:
            return;
        case server_behaviour::respond_to_another_request:
            call.respond(200, {{"id", "another"}}, "cache");
            call.fail(call_progress::maybe_sent);
            return;
        default:
            call.respond(200, {{"id", id}}, "cache");
        }
    }

    void handle_attempt(fake_client::fake_call& call, server_behaviour behaviour, const std::string& id)
    {
        const http_headers response_headers{{"id", id}, {"signed", "1"}};
        const http_headers refusal_headers{{"id", id}, {"not-run", "1"}};
        const auto last_event_id = find_header(call.request.headers, "resume");
        const auto event_id =
            std::to_string(last_event_id.empty() ? 1 : std::stoi(std::string{last_event_id}) + 1);
        const std::string event = "id: " + event_id + "\ndata: x\n\n";
        switch (behaviour) {
        case server_behaviour::refuse:
            call.respond(503, refusal_headers, {});
            return;
        case server_behaviour::misdirect:
            call.respond(421, refusal_headers, {});
            return;
        case server_behaviour::unreachable:
            call.fail(call_progress::not_sent);
            return;
        case server_behaviour::lose_connection:
            call.fail(call_progress::maybe_sent);
            return;
        case server_behaviour::respond_to_another_request:
            call.respond(200, {{"id", "another"}, {"signed", "1"}}, event);
            call.fail(call_progress::maybe_sent);
            return;
        case server_behaviour::break_stream:
        case server_behaviour::stall_stream: {
            const auto receiver = call.handler;
            receiver->on_head(200, response_headers);
            if (call.handler != nullptr) {
                receiver->on_data(event);
            }
            if (behaviour == server_behaviour::break_stream && call.handler != nullptr) {
                call.fail(call_progress::maybe_sent);
            }
            return;
        }
        case server_behaviour::never_respond:
            return;
        default:
            call.respond(200, response_headers, event);
        }
    }

    seeded_random random;
    route_case route_under_test;
    retry_budget retries; // before the first request
    forwarding_fixture gateway;
    std::map<std::string, std::shared_ptr<fake_exchange>> exchanges;
    std::map<std::string, call_counts> counts_by_request;
    std::size_t handled_call_count = 0;
};

class attempt_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(attempt_tests);
    CPPUNIT_TEST(runs_a_request_on_no_more_servers_than_its_route_allows);
    CPPUNIT_TEST(pays_for_each_repeated_arrival);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that stalls twice and is then resumed on a third server, although its route
    // allows two.
    void runs_a_request_on_no_more_servers_than_its_route_allows()
    {
        const std::map<std::string, route_case> routes{
            {"request that is not idempotent", {route_kind::non_idempotent, false, 2, false}},
            {"idempotent request", {route_kind::idempotent, false, 2, false}},
            {"idempotent request limited to three servers", {route_kind::idempotent, false, 3, false}},
            {"idempotent request limited to one server", {route_kind::idempotent, false, 1, false}},
            {"prompt", {route_kind::streaming, false, 2, true}},
            {"prompt with a resumable stream", {route_kind::streaming, true, 2, true}},
            {"prompt with a resumable stream, limited to three servers",
             {route_kind::streaming, true, 3, true}}};
        for (const auto& [name, route_under_test] : routes) {
            for (std::uint64_t seed = 1; seed <= 1; ++seed) {
                section(name + ", seed " + std::to_string(seed), [&, &route_under_test = route_under_test] {
                    misbehaving_servers servers(
                        seed,
                        route_under_test,
                        retry_budget{retry_budget_ratio, forwarding_fixture::retry_reserve});
                    servers.run_requests(requests_per_run);
                    servers.check_limits();
                });
            }
        }
    }

    // Guards against arrivals that no retry has paid for, above all a further prefill beside a further run.
    // Each request has its own servers and its own few retries, so that retries that another request has paid
    // for and not used make up for nothing.
    void pays_for_each_repeated_arrival()
    {
        const std::map<std::string, route_case> routes{
            {"idempotent request", {route_kind::idempotent, false, 6, false, false}},
            {"idempotent prompt", {route_kind::idempotent, false, 6, true, false}},
            {"prompt with a resumable stream", {route_kind::streaming, true, 6, true, false}}};
        constexpr std::uint64_t seeds = 300;
        for (const auto& [name, route_under_test] : routes) {
            for (const double retries : {1.0, 2.0, 3.0, 4.0}) {
                for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                    section(
                        name + ", " + std::to_string(retries) + " retries, seed " + std::to_string(seed),
                        [&, &route_under_test = route_under_test] {
                            misbehaving_servers servers(seed, route_under_test, retry_budget{0.0, retries});
                            servers.run_requests(1);
                            servers.check_limits();
                        });
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_tests);

} // namespace

} // namespace tanager
