// The limit on attempts and the promises that go with it, over everything that a server may do.
#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr double retry_share = 0.5;
constexpr std::size_t requests_per_round = 200;
// Longer than two silences of a stream.
constexpr auto time_left = 3s;

// What a server does with a call.
enum class server_act {
    answer,
    refuse,
    leave, // refuses as another server
    unreachable,
    lose, // runs it, and the connection breaks
    foreign,
    break_off, // after an event
    stall,     // after an event
    silent,
    act_count
};

struct played_route {
    route_kind kind = route_kind::idempotent;
    bool is_resumable = false;
    std::uint32_t servers_per_request = 2;
    bool is_model = false;
};

// Lets servers do anything with the calls that they get, and counts what each request has had.
class rough_site {
public:
    rough_site(std::uint64_t seed, const played_route& played) : random(seed), played(played)
    {
        this->gateway.retries = retry_budget{retry_share, forwarding_fixture::retry_reserve};
        this->gateway.is_model = played.is_model;
        auto& route = this->gateway.active_route;
        route.kind = played.kind;
        route.is_resumable = played.is_resumable;
        route.max_attempts = played.servers_per_request;
        route.latency_objective = 100ms;
        for (const auto* const id : {"a", "b"}) {
            this->gateway.remove_server(id);
        }
        const auto role = played.is_model ? engine_role::decode : engine_role::none;
        for (const auto* const id : {"c", "d", "e", "f"}) {
            this->gateway.add_server(id, role, requests_per_round);
        }
        if (played.is_model) {
            this->gateway.prompt = {5, 6'000, 3'000, 10};
            this->gateway.add_server("p", engine_role::prefill, requests_per_round);
            this->gateway.add_server("q", engine_role::prefill, requests_per_round);
        }
    }

    // Sends all requests, one after the other, and plays until each has its end.
    void play()
    {
        for (std::size_t index = 0; index < requests_per_round; ++index) {
            const auto id = "r" + std::to_string(index);
            this->exchanges.emplace(id, this->gateway.send(time_left, {}, id));
            this->serve_calls();
        }
        while (this->gateway.finished_requests < static_cast<int>(requests_per_round)) {
            this->gateway.loop->run_once();
            this->gateway.time.advance(1ms);
            this->gateway.scheduler.process_queues();
            this->serve_calls();
        }
    }

    void check() const
    {
        std::size_t further_arrivals = 0;
        for (const auto& [id, exchange] : this->exchanges) {
            const auto found = this->calls.find(id);
            const auto had = found == this->calls.end() ? call_counts{} : found->second;
            const std::uint32_t most =
                this->gateway.active_route.is_repeatable() ? this->played.servers_per_request : 1;
            CPPUNIT_ASSERT_MESSAGE(id + " ran on " + std::to_string(had.runs) + " servers", had.runs <= most);
            const bool is_refused = exchange->sent_response.status == 503;
            CPPUNIT_ASSERT_MESSAGE(id + " has run, and was said not to", !is_refused || had.runs == 0);
            further_arrivals += had.arrivals > 0 ? had.arrivals - 1 : 0;
        }
        const auto earned = retry_share * static_cast<double>(this->exchanges.size());
        CPPUNIT_ASSERT(static_cast<double>(further_arrivals) <= earned + forwarding_fixture::retry_reserve);
    }

private:
    struct call_counts {
        std::uint32_t runs = 0;     // on servers that may have run it
        std::uint32_t readings = 0; // that a server accepted
        std::uint32_t arrivals = 0; // at servers, but for the first reading that was accepted
    };

    void serve_calls()
    {
        for (; this->served < this->gateway.client.calls.size(); ++this->served) {
            this->serve(*this->gateway.client.calls[this->served]);
        }
    }

    void serve(fake_client::fake_call& call)
    {
        const auto id = find_header(call.request.headers, "id");
        if (id.empty()) {
            return; // frees a KV cache
        }
        const auto act =
            static_cast<server_act>(this->random.next() % static_cast<std::uint64_t>(server_act::act_count));
        auto& had = this->calls[id];
        const bool is_reading = !find_header(call.request.headers, "prefill-only").empty();
        const bool is_run =
            act != server_act::refuse && act != server_act::leave && act != server_act::unreachable;
        const bool is_free = is_reading && is_run && had.readings == 0;
        had.readings += is_reading && is_run ? 1 : 0;
        had.runs += is_run && !is_free ? 1 : 0;
        had.arrivals += act != server_act::unreachable && !is_free ? 1 : 0;
        if (is_reading) {
            read(call, act);
            return;
        }
        this->run(call, act, id);
    }

    static void read(fake_client::fake_call& call, server_act act)
    {
        switch (act) {
        case server_act::refuse:
        case server_act::leave:
            call.respond(503, {{"not-run", "1"}}, {});
            return;
        case server_act::unreachable:
            call.fail(call_progress::not_sent);
            return;
        case server_act::lose:
        case server_act::break_off:
            call.fail(call_progress::maybe_sent);
            return;
        case server_act::stall:
        case server_act::silent:
            return;
        default:
            call.respond(200, {}, "cache");
        }
    }

    void run(fake_client::fake_call& call, server_act act, const std::string& id)
    {
        const http_headers own{{"id", id}, {"signed", "1"}};
        const http_headers refused{{"id", id}, {"not-run", "1"}};
        const auto resumed = find_header(call.request.headers, "resume");
        const auto number = std::to_string(resumed.empty() ? 1 : std::stoi(std::string{resumed}) + 1);
        const std::string event = "id: " + number + "\ndata: x\n\n";
        switch (act) {
        case server_act::refuse:
            call.respond(503, refused, {});
            return;
        case server_act::leave:
            call.respond(421, refused, {});
            return;
        case server_act::unreachable:
            call.fail(call_progress::not_sent);
            return;
        case server_act::lose:
            call.fail(call_progress::maybe_sent);
            return;
        case server_act::foreign:
            call.respond(200, {{"id", "another"}, {"signed", "1"}}, event);
            return;
        case server_act::break_off:
        case server_act::stall: {
            const auto receiver = call.handler;
            receiver->on_head(200, own);
            if (call.handler != nullptr) {
                receiver->on_data(event);
            }
            if (act == server_act::break_off && call.handler != nullptr) {
                call.fail(call_progress::maybe_sent);
            }
            return;
        }
        case server_act::silent:
            return;
        default:
            call.respond(200, own, event);
        }
    }

    seeded_random random;
    played_route played;
    forwarding_fixture gateway;
    std::map<std::string, std::shared_ptr<fake_exchange>> exchanges;
    std::map<std::string, call_counts> calls;
    std::size_t served = 0;
};

class attempt_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(attempt_tests);
    CPPUNIT_TEST(runs_a_request_on_more_servers_than_its_route_allows);
    CPPUNIT_TEST_SUITE_END();

public:
    // A stream that had fallen silent twice went on at a third server of two.
    void runs_a_request_on_more_servers_than_its_route_allows()
    {
        const std::map<std::string, played_route> routes{
            {"an order", {route_kind::non_idempotent, false, 2, false}},
            {"a lookup", {route_kind::idempotent, false, 2, false}},
            {"a lookup that may run on three servers", {route_kind::idempotent, false, 3, false}},
            {"a lookup that may run on one", {route_kind::idempotent, false, 1, false}},
            {"a prompt", {route_kind::streaming, false, 2, true}},
            {"a prompt that may be resumed", {route_kind::streaming, true, 2, true}},
            {"a prompt that may be resumed twice", {route_kind::streaming, true, 3, true}}};
        for (const auto& [name, played] : routes) {
            for (std::uint64_t seed = 1; seed <= 1; ++seed) {
                section(name + ", seed " + std::to_string(seed), [&, &played = played] {
                    rough_site site(seed, played);
                    site.play();
                    site.check();
                });
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_tests);

} // namespace

} // namespace tanager
