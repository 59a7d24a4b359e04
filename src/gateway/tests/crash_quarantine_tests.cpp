// Tests that requests under which servers end are not sent to further servers. Guards against a request that
// ends each server that begins to run it, wherever in its handling that happens.
#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

// Four servers for one request at a time, of which the test ends those that it chooses.
class quarantine_fixture : public forwarding_fixture {
public:
    quarantine_fixture()
    {
        this->add_server("c", engine_role::none);
        this->add_server("d", engine_role::none);
        this->active_route.kind = route_kind::idempotent;
        this->active_route.max_attempts = 4;
    }

    // Replaces the servers by a prefill and a decode engine, for prompts that are worth a separate prefill.
    void use_separate_prefill()
    {
        for (const auto* const id : {"a", "b", "c", "d"}) {
            this->remove_server(id);
        }
        this->add_server("p", engine_role::prefill);
        this->add_server("e", engine_role::decode);
        this->is_model = true;
        this->prompt = {5, 6'000, 3'000, 10};
    }

    // The server of a call ends while it runs the request.
    void end_server(std::size_t call_index)
    {
        this->connector.ended.insert(this->call(call_index).peer);
        this->call(call_index).fail(call_progress::maybe_sent);
    }

    bool is_quarantined(const std::string& id) const
    {
        return this->quarantine.find_quarantine({hash64(id), {}}).has_value();
    }

    void complete(std::size_t call_index, const std::string& id)
    {
        this->call(call_index).respond(200, {{"id", id}, {"signed", "1"}, {"Content-Length", "6"}}, "answer");
    }

    // Sends a request whose prompt has these parts before its own.
    std::shared_ptr<fake_exchange> send_prompt(const std::string& id, std::vector<std::uint64_t> parts)
    {
        this->prompt_parts = std::move(parts);
        return this->send(10s, {}, id);
    }

    bool is_quarantined(std::uint64_t part) const
    {
        return this->quarantine.find_quarantine({0, {part}}).has_value();
    }

    // Three servers end under different requests with the part.
    void quarantine_part(std::uint64_t part)
    {
        for (const auto* const id : {"x", "y", "z"}) {
            backend_server ended;
            ended.id = id;
            ended.address = {id, 1};
            this->connector.ended.insert(ended.address);
            const auto sent_at = this->time.now();
            this->time.advance(50ms);
            this->quarantine.record_lost_connection(ended, {{hash64(id), {part}}, sent_at});
        }
    }
};

// Passes the messages of one gateway to another.
class direct_channel final : public suspicion_channel {
public:
    explicit direct_channel(crash_quarantine& receiver) : receiver(receiver) {}

    void send_to_all(const std::string& message) override
    {
        CPPUNIT_ASSERT(this->is_lossy || this->receiver.receive(message));
    }

    void send_to_some(const std::string& message) override
    {
        CPPUNIT_ASSERT(this->receiver.receive(message));
    }

    bool is_lossy = false;

private:
    crash_quarantine& receiver;
};

class crash_quarantine_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_quarantine_tests);
    CPPUNIT_TEST(does_not_retry_a_request_under_which_two_servers_ended);
    CPPUNIT_TEST(rejects_a_waiting_request_once_it_is_quarantined);
    CPPUNIT_TEST(does_not_suspect_requests_whose_connections_are_reset);
    CPPUNIT_TEST(suspects_a_request_that_servers_never_answer);
    CPPUNIT_TEST(does_not_decode_a_prompt_that_was_quarantined_during_its_prefill);
    CPPUNIT_TEST(other_gateways_learn_of_a_quarantine);
    CPPUNIT_TEST(a_prompt_part_that_ended_three_servers_reaches_no_other);
    CPPUNIT_TEST(withdraws_requests_with_a_prompt_part_that_has_just_been_quarantined);
    CPPUNIT_TEST(a_response_without_a_marked_end_proves_nothing_until_its_server_is_known_to_live);
    CPPUNIT_TEST_SUITE_END();

public:
    void does_not_retry_a_request_under_which_two_servers_ended()
    {
        section("two servers end under a request that may run on four", [] {
            quarantine_fixture gateway;
            const auto caller = gateway.send(10s, {}, "r1");
            gateway.end_server(0);
            gateway.end_server(1);
            section("it is not sent to a third one, and its caller learns that it may have run", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(502, caller->sent_response.status);
            });
            section("when it comes again it is quarantined", [&] {
                CPPUNIT_ASSERT(gateway.is_quarantined("r1"));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.quarantine.quarantined().size());
            });
            section("another request is served", [&] {
                const auto other = gateway.send(10s, {}, "r2");
                gateway.complete(2, "r2");
                CPPUNIT_ASSERT_EQUAL(200, other->sent_response.status);
            });
        });
        section("a request that ran beside the culprit is completed by the next server", [] {
            quarantine_fixture gateway;
            const auto caller = gateway.send(10s, {}, "r1");
            gateway.end_server(0);
            gateway.complete(1, "r1");
            CPPUNIT_ASSERT_EQUAL(200, caller->sent_response.status);
            section("it is cleared, so that one more coincidence does no harm", [&] {
                gateway.send(10s, {}, "r1");
                gateway.end_server(2);
                CPPUNIT_ASSERT(!gateway.is_quarantined("r1"));
            });
        });
    }

    void rejects_a_waiting_request_once_it_is_quarantined()
    {
        section("a request waits for a slot while servers end under another copy of it", [] {
            quarantine_fixture gateway;
            for (const auto* const id : {"a", "b", "c", "d"}) {
                gateway.remove_server(id);
            }
            gateway.add_server("e", engine_role::decode, 1);
            gateway.is_model = true;
            gateway.prompt = {0, 0, 200, 10};
            gateway.active_route.latency_objective = 5s;
            gateway.send(10s, {}, "r2");
            const auto short_prompt = gateway.short_prompt_request();
            for (int count = 0; count < 10; ++count) { // a short wait is expected
                gateway.scheduler.release_slot(short_prompt, "e");
                gateway.send(10s, {}, "filler");
            }
            const auto waiting = gateway.send(10s, {}, "r1");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.scheduler.queued_count());
            const auto call_count = gateway.client.calls.size();
            crash_quarantine elsewhere(gateway.time, gateway.metrics, gateway.connector);
            direct_channel channel(gateway.quarantine);
            elsewhere.set_channel(&channel);
            for (const auto* const id : {"x", "y"}) {
                backend_server ended;
                ended.id = id;
                ended.address = {id, 1};
                gateway.connector.ended.insert(ended.address);
                elsewhere.record_lost_connection(ended, {{hash64("r1"), {}}, {}});
            }
            section("when a slot is free it is rejected as not run, with the time that is left", [&] {
                gateway.scheduler.release_slot(short_prompt, "e");
                gateway.scheduler.process_queues();
                CPPUNIT_ASSERT_EQUAL(call_count, gateway.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(503, waiting->sent_response.status);
                CPPUNIT_ASSERT_EQUAL(std::string{"600000"},
                                     find_header(waiting->sent_response.headers, "retry-after"));
            });
            section("its slot is free for others", [&] {
                gateway.send(10s, {}, "r4");
                CPPUNIT_ASSERT_EQUAL(call_count + 1, gateway.client.calls.size());
            });
        });
    }

    void does_not_suspect_requests_whose_connections_are_reset()
    {
        section("the connections of a request to three servers are reset, and the servers go on", [] {
            quarantine_fixture gateway;
            const auto caller = gateway.send(10s, {}, "r1");
            for (std::size_t index = 0; index < 3; ++index) {
                gateway.call(index).fail(call_progress::maybe_sent);
            }
            gateway.complete(3, "r1");
            CPPUNIT_ASSERT_EQUAL(200, caller->sent_response.status);
            CPPUNIT_ASSERT_EQUAL(3, gateway.connector.attempt_count);
        });
        section("servers that were never reached are not checked", [] {
            quarantine_fixture gateway;
            gateway.send(10s, {}, "r1");
            gateway.call(0).fail(call_progress::not_sent);
            CPPUNIT_ASSERT_EQUAL(0, gateway.connector.attempt_count);
        });
    }

    void suspects_a_request_that_servers_never_answer()
    {
        section("a request that may run only once comes again, and its servers fall silent", [] {
            quarantine_fixture gateway;
            gateway.active_route.kind = route_kind::non_idempotent;
            gateway.active_route.latency_objective = 1ms;
            for (std::size_t index = 0; index < 3; ++index) {
                const auto caller = gateway.send(10s, {}, "r1");
                CPPUNIT_ASSERT_EQUAL(index + 1, gateway.client.calls.size());
                gateway.time.advance(400ms);
                caller->caller_left_callback();
                gateway.time.advance(600ms);
                gateway.quarantine.check();
                gateway.remove_server(forwarding_fixture::server_of(gateway.call(index)));
            }
            CPPUNIT_ASSERT(gateway.is_quarantined("r1"));
        });
        section("callers leave at once, which says nothing about the server", [] {
            quarantine_fixture gateway;
            const auto caller = gateway.send(10s, {}, "r1");
            gateway.time.advance(20ms);
            caller->caller_left_callback();
            gateway.time.advance(600ms);
            gateway.quarantine.check();
            CPPUNIT_ASSERT(!gateway.is_quarantined("r1"));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                                 gateway.metrics.counter_value("tanager_server_ends_total"));
        });
    }

    void does_not_decode_a_prompt_that_was_quarantined_during_its_prefill()
    {
        section("a prompt is prefilled while servers end under another copy of it", [] {
            quarantine_fixture gateway;
            gateway.use_separate_prefill();
            const auto caller = gateway.send(10s, {}, "r1");
            CPPUNIT_ASSERT_EQUAL(std::string{"1"},
                                 find_header(gateway.call(0).request.headers, "prefill-only"));
            for (const auto* const id : {"x", "y"}) {
                backend_server ended;
                ended.id = id;
                ended.address = {id, 1};
                gateway.connector.ended.insert(ended.address);
                gateway.quarantine.record_lost_connection(ended, {{hash64("r1"), {}}, {}});
            }
            gateway.call(0).respond(200, {{"id", "r1"}}, "handle");
            section("it is not sent to its decode engine, and its KV cache is released", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
                CPPUNIT_ASSERT_EQUAL(std::string{"DELETE"}, gateway.call(1).request.method);
                CPPUNIT_ASSERT(caller->is_finished);
            });
        });
        section("the prefill engine ends, and so does the decode engine", [] {
            quarantine_fixture gateway;
            gateway.use_separate_prefill();
            gateway.add_server("f", engine_role::decode);
            gateway.send(10s, {}, "r1");
            gateway.end_server(0);
            gateway.end_server(1);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, gateway.client.calls.size());
            CPPUNIT_ASSERT(gateway.is_quarantined("r1"));
        });
    }

    void other_gateways_learn_of_a_quarantine()
    {
        section("two servers end under a request at one gateway", [] {
            manual_clock time;
            metrics_registry metrics;
            fake_server_connector connector;
            crash_quarantine here(time, metrics, connector);
            crash_quarantine elsewhere(time, metrics, connector);
            direct_channel channel(elsewhere);
            here.set_channel(&channel);
            channel.is_lossy = true;
            for (const auto* const id : {"x", "y"}) {
                backend_server ended;
                ended.id = id;
                ended.address = {id, 1};
                connector.ended.insert(ended.address);
                here.record_lost_connection(ended, {{1, {}}, {}});
            }
            section("a gateway that was not reached, or has just started, learns it from a repetition", [&] {
                crash_quarantine started_later(time, metrics, connector);
                direct_channel later_channel(started_later);
                here.set_channel(&later_channel);
                CPPUNIT_ASSERT(!started_later.find_quarantine({1, {}}));
                time.advance(600ms);
                here.check();
                CPPUNIT_ASSERT(started_later.find_quarantine({1, {}}));
            });
            section("a message that cannot be read is rejected",
                    [&] { CPPUNIT_ASSERT(!elsewhere.receive("?")); });
        });
    }

    void a_prompt_part_that_ended_three_servers_reaches_no_other()
    {
        section("requests share their first part, and three of them one that ends their servers", [] {
            constexpr std::uint64_t common = 1;
            constexpr std::uint64_t deadly = 2;
            quarantine_fixture gateway;
            gateway.active_route.max_attempts = 1;
            gateway.add_server("e", engine_role::none);
            for (const auto* const id : {"r1", "r2", "r3"}) {
                CPPUNIT_ASSERT(!gateway.is_quarantined(deadly));
                gateway.send_prompt(id, {common, deadly});
                gateway.time.advance(50ms);
                const auto call_index = gateway.client.calls.size() - 1;
                gateway.end_server(call_index);
                gateway.remove_server(forwarding_fixture::server_of(gateway.call(call_index)));
            }
            const auto call_count = gateway.client.calls.size();
            section("another request with it is rejected as not run, wherever the part stands", [&] {
                CPPUNIT_ASSERT(gateway.quarantine.find_quarantine({hash64("r4"), {3, 4, deadly}}));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway.quarantine.quarantined().size());
            });
            section("one without it is served", [&] {
                const auto other = gateway.send_prompt("r5", {common, 3});
                gateway.complete(call_count, "r5");
                CPPUNIT_ASSERT_EQUAL(200, other->sent_response.status);
            });
        });
    }

    void withdraws_requests_with_a_prompt_part_that_has_just_been_quarantined()
    {
        constexpr std::uint64_t deadly = 2;
        section("a request with the part has been sent and has no response yet", [] {
            quarantine_fixture gateway;
            const auto caller = gateway.send_prompt("r1", {deadly});
            gateway.quarantine_part(deadly);
            gateway.loop->run_once();
            CPPUNIT_ASSERT(gateway.call(0).is_cancelled);
            section("its caller learns that it may have run", [&] {
                CPPUNIT_ASSERT(caller->is_finished);
                CPPUNIT_ASSERT_EQUAL(502, caller->sent_response.status);
            });
        });
        section("a request with the part is only being prefilled", [] {
            quarantine_fixture gateway;
            gateway.use_separate_prefill();
            const auto caller = gateway.send_prompt("r1", {deadly});
            gateway.quarantine_part(deadly);
            gateway.loop->run_once();
            CPPUNIT_ASSERT(gateway.call(0).is_cancelled);
            CPPUNIT_ASSERT_EQUAL(503, caller->sent_response.status);
        });
        section("a stream with the part has begun, and goes on", [] {
            quarantine_fixture gateway;
            gateway.active_route.kind = route_kind::streaming;
            const auto caller = gateway.send_prompt("r1", {deadly});
            gateway.call(0).handler->on_head(
                200, {{"id", "r1"}, {"signed", "1"}, {"Transfer-Encoding", "chunked"}});
            gateway.call(0).handler->on_data("id: 1\ndata: a\n\n");
            gateway.quarantine_part(deadly);
            gateway.loop->run_once();
            CPPUNIT_ASSERT(!gateway.call(0).is_cancelled);
            section("its completion proves that the part is sound", [&] {
                gateway.call(0).handler->on_end();
                CPPUNIT_ASSERT(caller->is_finished);
                CPPUNIT_ASSERT(!gateway.is_quarantined(deadly));
            });
        });
        section("requests without the part are not disturbed", [] {
            quarantine_fixture gateway;
            gateway.send_prompt("r1", {7});
            gateway.quarantine_part(deadly);
            gateway.loop->run_once();
            CPPUNIT_ASSERT(!gateway.call(0).is_cancelled);
        });
    }

    void a_response_without_a_marked_end_proves_nothing_until_its_server_is_known_to_live()
    {
        constexpr std::uint64_t part = 2;
        const auto complete_unframed = [](quarantine_fixture& gateway) {
            gateway.quarantine_part(part);
            backend_server last;
            last.id = "w";
            last.address = {"w", 1};
            gateway.quarantine.record_unframed_completion(last, {{hash64("r9"), {part}}, gateway.time.now()});
            CPPUNIT_ASSERT(gateway.is_quarantined(part));
        };
        section("a response ends with its connection, and its server accepts another", [&] {
            quarantine_fixture gateway;
            complete_unframed(gateway);
            gateway.quarantine.check();
            CPPUNIT_ASSERT(!gateway.is_quarantined(part));
        });
        section("a response ends with its connection, and its server has ended", [&] {
            quarantine_fixture gateway;
            gateway.connector.ended.insert(socket_address{"w", 1});
            complete_unframed(gateway);
            gateway.quarantine.check();
            CPPUNIT_ASSERT(gateway.is_quarantined(part));
        });
        section("a response of failure does not prove that its prompt can be answered", [] {
            quarantine_fixture gateway;
            gateway.quarantine_part(part);
            gateway.quarantine.record_completion({{hash64("x"), {part}}, {}}, false);
            CPPUNIT_ASSERT(gateway.is_quarantined(part));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_quarantine_tests);

} // namespace

} // namespace tanager
