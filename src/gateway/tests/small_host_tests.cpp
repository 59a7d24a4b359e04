#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "gateway/mocks/no_peers.h"
#include "gateway/request_scheduler.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <optional>
#include <vector>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 20261206;
constexpr std::size_t prompt_bytes = 9'700;
constexpr std::size_t chat_bytes = 720;
constexpr double slow_megabits = 10;

// As a forwarder does, passes its request to the link when it is granted a slot.
class recorded_request final : public slot_listener {
public:
    recorded_request(uplink_queue_model& link, std::size_t bytes) : link(link), bytes(bytes) {}

    void on_slot_granted(const slot_grant& new_grant) override
    {
        this->grant = new_grant;
        this->link.record_sent(this->bytes * (this->is_sent_twice() ? 2 : 1));
    }

    bool is_sent_twice() const
    {
        return this->grant && this->grant->prefill_engine != nullptr;
    }

    void on_slot_denied(placement_error cause) override
    {
        this->denied = cause;
    }

    std::optional<slot_grant> grant;
    std::optional<placement_error> denied;

private:
    uplink_queue_model& link;
    std::size_t bytes;
};

// The others of a deployment: a quarter of them have fast links.
class reported_peers final : public peer_load_view {
public:
    load_counts load_of(const std::string& /*server_id*/) const override
    {
        return {};
    }

    std::uint32_t prompts_per_second(const std::string& /*service*/) const override
    {
        return 0;
    }

    bool should_isolate_long_outputs(const std::string& /*service*/) const override
    {
        return false;
    }

    duration report_age() const override
    {
        return {};
    }

    gateways_with_room link_room(duration /*max_wait*/) const override
    {
        return {this->with_room, 25};
    }

    bool is_changing_role(const std::string& /*server_id*/) const override
    {
        return false;
    }

    std::size_t with_room = 25;
};

// A gateway with a link of this bandwidth, and engines that have room for everything.
struct small_host {
    explicit small_host(double megabits) : link(time, megabits), scheduler(time, random, pool, link, demand)
    {
        for (int index = 0; index < 8; ++index) {
            backend_server server;
            server.id = "engine-" + std::to_string(index);
            server.service = "helper";
            server.slots = 32;
            server.role = index < 4 ? engine_role::prefill : engine_role::decode;
            this->pool.servers().apply({server.id, server});
        }
    }

    slot_request prompt(const std::string& organisation = "usual") const
    {
        slot_request request;
        request.service = "helper";
        request.organisation = organisation;
        request.is_model = true;
        request.prompt = {1, 2'000, 900, 300};
        request.priority = 2;
        request.start_deadline = this->time.now() + 160ms;
        request.first_event_deadline = this->time.now() + 440ms;
        request.latency_objective = 400ms;
        request.request_bytes = prompt_bytes;
        return request;
    }

    slot_request chat() const
    {
        auto request = this->prompt();
        request.prompt = {2, 50, 30, 9'000};
        request.priority = 0;
        request.latency_objective = 100ms;
        request.request_bytes = chat_bytes;
        return request;
    }

    std::shared_ptr<recorded_request> send(const slot_request& request)
    {
        auto recorded = std::make_shared<recorded_request>(this->link, request.request_bytes);
        this->scheduler.request_slot(request, recorded);
        this->sent.push_back(recorded);
        return recorded;
    }

    void advance(duration span)
    {
        const auto end = this->time.now() + span;
        while (this->time.now() < end) {
            this->time.advance(5ms);
            this->scheduler.process_queues();
        }
    }

    template <typename Condition>
    std::size_t count(Condition condition) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->sent, [&](const auto& request) { return condition(*request); }));
    }

    std::size_t count_granted() const
    {
        return this->count([](const auto& request) { return request.grant.has_value(); });
    }

    manual_clock time;
    seeded_random random{seed};
    reported_peers peers;
    server_pool pool{time, "here", 2s, peers};
    uplink_queue_model link;
    demand_meter demand{time};
    request_scheduler scheduler;
    std::vector<std::shared_ptr<recorded_request>> sent;
};

class small_host_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(small_host_tests);
    CPPUNIT_TEST(takes_what_its_link_carries_in_time);
    CPPUNIT_TEST(serves_organisations_that_wait_for_the_link_in_turn);
    CPPUNIT_TEST(a_fast_link_changes_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: thirty prompts arrive at once at a gateway whose link carries 120 of them a second.
    void takes_what_its_link_carries_in_time()
    {
        small_host host(slow_megabits);
        for (int count = 0; count < 30; ++count) {
            host.send(host.prompt());
        }
        const auto denied =
            host.count([](const auto& request) { return request.denied == placement_error::link_busy; });
        section("those that the link cannot carry in time are refused at once", [&] {
            CPPUNIT_ASSERT(denied >= 6 && denied <= 12);
            section("with the advice to try another gateway while most have room", [&] {
                CPPUNIT_ASSERT(host.scheduler.suggest_retry_elsewhere(host.prompt()) == 1ms);
                host.peers.with_room = 6;
                CPPUNIT_ASSERT(host.scheduler.suggest_retry_elsewhere(host.prompt()) >= 50ms);
            });
        });
        section("peers are told how long the others wait", [&] {
            CPPUNIT_ASSERT(host.scheduler.link_wait() > 150ms && host.scheduler.link_wait() < 210ms);
        });
        section("an urgent short request overtakes them",
                [&] { CPPUNIT_ASSERT(host.send(host.chat())->grant.has_value()); });
        host.advance(200ms);
        section("all others are sent, and only the first ones twice", [&] {
            CPPUNIT_ASSERT_EQUAL(31 - denied, host.count_granted());
            CPPUNIT_ASSERT(host.count([](const auto& request) { return request.is_sent_twice(); }) <= 3);
            CPPUNIT_ASSERT(host.scheduler.link_wait() < 60ms);
        });
    }

    // Load: callers of one organisation fill the queue for a small host's link before others arrive.
    void serves_organisations_that_wait_for_the_link_in_turn()
    {
        small_host host(slow_megabits);
        for (int count = 0; count < 16; ++count) {
            host.send(host.prompt("large"));
        }
        const auto late_comer = host.send(host.prompt("small"));
        CPPUNIT_ASSERT(!late_comer->grant && !late_comer->denied);
        section("the first request of another one is the next to be sent", [&] {
            host.advance(20ms);
            CPPUNIT_ASSERT(late_comer->grant.has_value());
            CPPUNIT_ASSERT(host.scheduler.queued_count() > 0);
        });
    }

    void a_fast_link_changes_nothing()
    {
        section("neither does a slow one without organisations", [] {
            small_host host(slow_megabits);
            for (int count = 0; count < 30; ++count) {
                host.send(host.prompt(""));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, host.count([](const auto& request) {
                return request.denied == placement_error::link_busy;
            }));
            // The kernel's queue is longer than that of the requests that wait in turn.
            CPPUNIT_ASSERT(host.link.estimate_send_delay(0).queued > 2 * sending_plan::max_link_queue(400ms));
        });
        for (const double megabits : {0.0, 1'000.0}) {
            small_host host(megabits);
            for (int count = 0; count < 30; ++count) {
                host.send(host.prompt());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{30}, host.count_granted());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(small_host_tests);

} // namespace

} // namespace tanager
