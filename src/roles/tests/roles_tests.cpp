#include "base/mocks/manual_clock.h"
#include "net/mocks/fake_client.h"
#include "roles/demand_meter.h"
#include "roles/role_order_sender.h"
#include "roles/role_plan.h"
#include "store/mocks/fault_injecting_store.h"
#include "store/types/fencing_token.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <set>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr role_policy policy{0.15};

std::vector<engine_state>
make_engines(std::size_t prefill_engines, std::size_t decode_engines, std::uint32_t slots)
{
    std::vector<engine_state> engines;
    for (std::size_t index = 0; index < prefill_engines + decode_engines; ++index) {
        const auto role = index < prefill_engines ? engine_role::prefill : engine_role::decode;
        engines.push_back({"e" + std::to_string(index), role, slots, 0, 0, true, false});
    }
    return engines;
}

// Encodes orders in headers, so that tests can check them and choose the responses.
class fake_engine_codec final : public engine_codec {
public:
    http_request encode_report_request(const std::string& /*server_id*/) const override
    {
        return {"GET", "/report", {}, {}};
    }

    result<engine_report> decode_report(const http_response& response) const override
    {
        return engine_report{std::stoull(response.body), false, engine_role::decode};
    }

    http_request encode_order(const role_order& order) const override
    {
        return {"POST",
                "/order",
                {{"token", std::to_string(order.fencing_token)},
                 {"expected", std::to_string(order.expected_order_count)}},
                order.lease_holder};
    }

    bool is_accepted(const http_response& response) const override
    {
        return response.status == 202; // NOLINT(*-magic-numbers)
    }

    leaving_statement read_leaving(const http_response& response) const override
    {
        return find_header(response.headers, "leaving").empty() ? leaving_statement::none
                                                                : leaving_statement::asked_server;
    }
};

class fake_engines final : public engine_availability {
public:
    bool takes_work(const std::string& engine_id) const override
    {
        return !this->leaving.contains(engine_id);
    }

    void record_leaving(const backend_server& asked,
                        leaving_statement statement,
                        answer_kind /*answer*/,
                        int /*status*/) override
    {
        if (statement != leaving_statement::none) {
            this->leaving.insert(asked.id);
        }
    }

    std::set<std::string> leaving;
};

// One process that sends orders; several can share a store.
class sender_fixture {
public:
    sender_fixture(manual_clock& time, fault_injecting_store& store, const std::string& host)
        : orders(role_order_sender::create(time, store, this->client, this->codec, this->engines, {host, 3s}))
    {
    }

    void send(const std::string& engine_id = "e7")
    {
        backend_server engine;
        engine.id = engine_id;
        engine.address = {"10.0.0.7", 80};
        this->orders->send(engine, {engine_id, engine_role::prefill}, [this](bool may_be_executed) {
            this->outcome = may_be_executed;
        });
    }

    fake_client::fake_call& last_call()
    {
        return *this->client.calls.back();
    }

    fake_engines engines;
    fake_client client;
    fake_engine_codec codec;
    std::shared_ptr<role_order_sender> orders;
    std::optional<bool> outcome;
};

class roles_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(roles_tests);
    CPPUNIT_TEST(balances_prefill_and_decode_engines);
    CPPUNIT_TEST(keeps_a_balanced_split);
    CPPUNIT_TEST(adds_prefill_engines_under_load_where_decode_engines_only_decode);
    CPPUNIT_TEST(measures_demand);
    CPPUNIT_TEST(counts_arrivals_of_the_last_second);
    CPPUNIT_TEST(sends_an_order_after_acquiring_the_lease);
    CPPUNIT_TEST(orders_nothing_of_an_engine_that_leaves);
    CPPUNIT_TEST(sends_nothing_after_losing_the_lease);
    CPPUNIT_TEST(keeps_authority_apart_when_the_store_comes_back_from_a_copy);
    CPPUNIT_TEST(blocks_an_engine_while_the_outcome_of_its_order_is_unknown);
    CPPUNIT_TEST_SUITE_END();

public:
    // The fleet of Yesil Dongu: prompts of 9 ms on 24-slot engines, 4 of the 11 prefill.
    void balances_prefill_and_decode_engines()
    {
        section("four prefill engines of eleven are too few", [] {
            auto engines = make_engines(4, 7, 24);
            engines[6].running = 1;
            engines[5].long_outputs = 2;
            for (auto& engine : engines) {
                engine.running += 3;
            }
            engines[9].running = 0;
            const role_demand demand{9.2, 60, 200, 33};
            const auto change = plan_role_change(engines, demand, policy);
            section("the decode engine with the least load becomes a prefill engine", [&] {
                CPPUNIT_ASSERT(change == (role_change{"e9", engine_role::prefill}));
            });
            section("no engine changes while the demand exceeds what the others can serve", [&] {
                const role_demand busy{9.2, 60, 800, 33};
                CPPUNIT_ASSERT(!plan_role_change(engines, busy, policy));
            });
            section("no engine changes while the outcome of an order is unknown", [&] {
                engines[0].is_settled = false;
                CPPUNIT_ASSERT(!plan_role_change(engines, demand, policy));
            });
        });
        section("a prefill engine changes when the decode engines have too few slots", [] {
            const auto engines = make_engines(5, 4, 6);
            CPPUNIT_ASSERT(plan_role_change(engines, {5.6, 60, 50, 12}, policy)->role == engine_role::decode);
        });
        section("a decode engine changes when there is no prefill engine", [] {
            const auto engines = make_engines(0, 9, 24);
            CPPUNIT_ASSERT(plan_role_change(engines, {5.6, 60, 0, 12}, policy)->role == engine_role::prefill);
        });
    }

    // The fleet of Midlands: 2 of 9 engines prefill, and a third one would leave too few decode slots.
    void keeps_a_balanced_split()
    {
        section("two prefill engines of nine are balanced", [] {
            CPPUNIT_ASSERT(!plan_role_change(make_engines(2, 7, 6), {5.6, 55, 200, 14}, policy));
        });
        section("no engine changes without a measured demand",
                [] { CPPUNIT_ASSERT(!plan_role_change(make_engines(2, 7, 6), {}, policy)); });
        section("repeated planning ends after a few changes", [] {
            auto engines = make_engines(4, 7, 24);
            const role_demand demand{9.2, 60, 0, 33};
            int changes = 0;
            for (auto change = plan_role_change(engines, demand, policy); change;
                 change = plan_role_change(engines, demand, policy)) {
                for (auto& engine : engines) {
                    engine.role = engine.id == change->engine_id ? change->role : engine.role;
                }
                ++changes;
                CPPUNIT_ASSERT(changes < 5);
            }
            CPPUNIT_ASSERT(changes >= 1);
        });
    }

    // Guards against an overload that lasts as long as the roles: 6 of 18 engines prefill, which is half of
    // what the prompts need, while the other twelve use a tenth of their 64 slots.
    void adds_prefill_engines_under_load_where_decode_engines_only_decode()
    {
        // 65 prompts a second; a prompt takes 63 ms on a prefill engine beside its cached prefix, 700 ms to
        // decode, and 480 ms to prefill on a decode engine, where events are due every 300 ms.
        const role_demand overload{63, 700, 130, 6, 480, 300};
        section("the demand exceeds what six prefill engines can serve", [&] {
            auto engines = make_engines(6, 12, 64);
            for (auto& engine : engines) {
                engine.running = 6;
            }
            std::vector<std::string> changing;
            for (auto change = plan_role_change(engines, overload, policy); change;
                 change = plan_role_change(engines, overload, policy)) {
                CPPUNIT_ASSERT(change->role == engine_role::prefill);
                changing.push_back(change->engine_id);
                for (auto& engine : engines) {
                    if (engine.id == change->engine_id) {
                        engine.role = change->role;
                        engine.is_changing = true;
                    }
                }
            }
            section("up to a quarter of the engines change at the same time, each once", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{4}, changing.size());
                CPPUNIT_ASSERT_EQUAL(changing.size(), std::set(changing.begin(), changing.end()).size());
            });
            section("more follow when they have changed, as long as the rest can decode", [&] {
                for (auto& engine : engines) {
                    engine.is_changing = false;
                }
                CPPUNIT_ASSERT(plan_role_change(engines, overload, policy).has_value());
            });
        });
        section("an engine that has not answered its order is passed over, the others change", [&] {
            auto engines = make_engines(6, 12, 64);
            engines[6].is_settled = false;
            for (std::size_t index = 8; index < engines.size(); ++index) {
                engines[index].running = 5;
            }
            const auto change = plan_role_change(engines, overload, policy);
            CPPUNIT_ASSERT(change == (role_change{"e7", engine_role::prefill}));
        });
        section("decode engines that are needed to decode stay", [&] {
            auto decode_bound = overload;
            decode_bound.prompts_per_second = 600;
            CPPUNIT_ASSERT(!plan_role_change(make_engines(6, 12, 64), decode_bound, policy));
        });
        section("where a decode engine can prefill beside its streams, roles change in calm only", [&] {
            const role_demand shared{9.2, 60, 800, 33, 60, 200};
            CPPUNIT_ASSERT(!plan_role_change(make_engines(4, 7, 24), shared, policy));
        });
    }

    void measures_demand()
    {
        section("demand is measured from two hundred prompts in two seconds at one of four gateways", [] {
            manual_clock time;
            demand_meter meter(time);
            meter.record_long_outputs("s", 12);
            constexpr int decodes_needed = 4;
            for (int count = 0; count < 200; ++count) {
                meter.record_prompt("s", {6'000, 3'000}, 150ms);
                CPPUNIT_ASSERT((meter.measure("s", 300, 0.002, 2) == role_demand{}) ==
                               (count < decodes_needed));
                meter.record_decode("s", 60ms);
                time.advance(10ms);
            }
            const auto demand = meter.measure("s", 300, 0.002, 2);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(6, demand.prefill_milliseconds, 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(36, demand.decode_engine_prefill_milliseconds, 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(150, demand.gap_objective_milliseconds, 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(60, demand.decode_milliseconds, 0.01);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(400, demand.prompts_per_second, 20);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(12, demand.long_outputs, 0.01);
            section("only the prompts of the last second are counted", [&] {
                CPPUNIT_ASSERT_EQUAL(100U, meter.prompts_last_second("s"));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, meter.prompts_last_second().size());
                CPPUNIT_ASSERT_EQUAL(0U, meter.prompts_last_second("another"));
                time.advance(2s);
                CPPUNIT_ASSERT(meter.prompts_last_second().empty());
            });
        });
    }

    void counts_arrivals_of_the_last_second()
    {
        manual_clock time;
        arrival_meter meter(time);
        for (int count = 0; count < 20; ++count) {
            meter.record();
            time.advance(100ms);
        }
        CPPUNIT_ASSERT_EQUAL(10U, meter.last_second());
        time.advance(2s);
        CPPUNIT_ASSERT_EQUAL(0U, meter.last_second());
    }

    void sends_an_order_after_acquiring_the_lease()
    {
        section("a process acquires the lease", [] {
            manual_clock time;
            fault_injecting_store store(1);
            sender_fixture first(time, store, "a");
            CPPUNIT_ASSERT(!first.orders->prepare_to_send());
            deliver(store);
            section("it sends nothing until the lease of a possible predecessor has expired", [&] {
                time.advance(2'999ms);
                CPPUNIT_ASSERT(!first.orders->prepare_to_send());
                time.advance(1ms);
                CPPUNIT_ASSERT(first.orders->prepare_to_send());
            });
            section("it reads the report, renews the lease and sends an order with a higher token", [&] {
                first.send();
                // Guards against a second copy of an earlier response that is taken for a report or an
                // order's response, which carry no id (review case 3).
                CPPUNIT_ASSERT(!first.last_call().options.reuse_connection);
                first.last_call().respond(200, {}, "5");
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.client.calls.size());
                deliver(store);
                const auto& order = first.last_call().request;
                CPPUNIT_ASSERT_EQUAL(std::string{"5"}, find_header(order.headers, "expected"));
                CPPUNIT_ASSERT_EQUAL(std::string{"2"}, find_header(order.headers, "token"));
                CPPUNIT_ASSERT(!first.last_call().options.reuse_connection);
                first.last_call().respond(202, {}, "");
                CPPUNIT_ASSERT(first.outcome == true);
                CPPUNIT_ASSERT(first.orders->is_settled("e7"));
            });
        });
    }

    // Guards against an order to an engine that has stated that it leaves; it may be lost with the engine.
    void orders_nothing_of_an_engine_that_leaves()
    {
        for (const bool is_stated_by_report : {true, false}) {
            section(is_stated_by_report ? "the report states it" : "another answer states it meanwhile", [&] {
                manual_clock time;
                fault_injecting_store store(1);
                sender_fixture sender(time, store, "a");
                sender.orders->prepare_to_send();
                deliver(store);
                time.advance(3s);
                sender.send();
                if (is_stated_by_report) {
                    sender.last_call().respond(200, {{"leaving", "1"}}, "5");
                } else {
                    sender.last_call().respond(200, {}, "5");
                    sender.engines.leaving.insert("e7");
                }
                deliver(store);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.client.calls.size());
                CPPUNIT_ASSERT(sender.outcome == false);
                CPPUNIT_ASSERT(sender.orders->is_settled("e7"));
                section("another engine gets its order", [&] {
                    sender.send("e8");
                    sender.last_call().respond(200, {}, "5");
                    deliver(store);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, sender.client.calls.size());
                    section("its answer states it", [&] {
                        sender.last_call().respond(202, {{"leaving", "1"}}, "");
                        CPPUNIT_ASSERT(sender.engines.leaving.contains("e8"));
                    });
                });
            });
        }
    }

    void sends_nothing_after_losing_the_lease()
    {
        section("a holder is suspended while another process acquires the lease", [] {
            manual_clock time;
            fault_injecting_store store(1);
            sender_fixture former_holder(time, store, "a");
            sender_fixture new_holder(time, store, "b");
            former_holder.orders->prepare_to_send();
            deliver(store);
            time.advance(3s);
            CPPUNIT_ASSERT(former_holder.orders->prepare_to_send());
            new_holder.orders->prepare_to_send();
            deliver(store);
            section("it sends no order after the store reports a conflict", [&] {
                former_holder.send();
                former_holder.last_call().respond(200, {}, "0");
                deliver(store);
                CPPUNIT_ASSERT_EQUAL(std::string{"GET"}, former_holder.last_call().request.method);
                CPPUNIT_ASSERT(former_holder.outcome == false);
            });
        });
        section("no order is sent when the process was suspended during the lease renewal", [] {
            manual_clock time;
            fault_injecting_store store(1);
            sender_fixture suspended(time, store, "a");
            suspended.orders->prepare_to_send();
            deliver(store);
            time.advance(3s);
            suspended.send();
            suspended.last_call().respond(200, {}, "0");
            time.advance(1s);
            deliver(store);
            CPPUNIT_ASSERT_EQUAL(std::string{"GET"}, suspended.last_call().request.method);
            CPPUNIT_ASSERT(suspended.outcome == false);
        });
    }

    void keeps_authority_apart_when_the_store_comes_back_from_a_copy()
    {
        section("a holder has sent an order, and the store loses that it holds the lease", [] {
            manual_clock time;
            fault_injecting_store store(1);
            store.restore({}, 100);
            sender_fixture former_holder(time, store, "a");
            sender_fixture new_holder(time, store, "b");
            const auto copy = store.objects;
            const auto copied = store.last_revision();
            former_holder.orders->prepare_to_send();
            deliver(store);
            time.advance(3s);
            former_holder.send();
            former_holder.last_call().respond(200, {}, "0");
            deliver(store);
            const auto first_token = token_of(former_holder.last_call().request);
            former_holder.last_call().respond(202, {}, {});
            store.restore(copy, copied);
            section("another process takes over, and waits out the lease that is no longer in the store",
                    [&] {
                        new_holder.orders->prepare_to_send();
                        deliver(store);
                        CPPUNIT_ASSERT(!new_holder.orders->prepare_to_send());
                        time.advance(2'999ms);
                        CPPUNIT_ASSERT(!new_holder.orders->prepare_to_send());
                    });
            section("the former holder sends nothing, without knowing of the new era", [&] {
                former_holder.send("e8");
                former_holder.last_call().respond(200, {}, "0");
                deliver(store);
                CPPUNIT_ASSERT_EQUAL(std::string{"GET"}, former_holder.last_call().request.method);
                CPPUNIT_ASSERT(former_holder.outcome == false);
            });
            section("the new one's token is higher, although its revision was given out before", [&] {
                time.advance(1ms);
                CPPUNIT_ASSERT(new_holder.orders->prepare_to_send());
                new_holder.send();
                new_holder.last_call().respond(200, {}, "1");
                deliver(store);
                const auto second_token = token_of(new_holder.last_call().request);
                CPPUNIT_ASSERT_EQUAL(revision_of(first_token), revision_of(second_token));
                CPPUNIT_ASSERT(second_token > first_token);
            });
        });
        section("over eight eras, no token is given out twice and none is lower than one before", [] {
            manual_clock time;
            fault_injecting_store store(1);
            std::uint64_t last_token = 0;
            for (int era = 0; era < 8; ++era) {
                sender_fixture holder(time, store, "host-" + std::to_string(era % 2));
                holder.orders->prepare_to_send();
                deliver(store);
                time.advance(3s);
                holder.send();
                holder.last_call().respond(200, {}, "0");
                deliver(store);
                const auto token = token_of(holder.last_call().request);
                CPPUNIT_ASSERT(token > last_token);
                last_token = token;
                store.restore({}, 0);
            }
        });
    }

    void blocks_an_engine_while_the_outcome_of_its_order_is_unknown()
    {
        section("the connection breaks after an order was sent", [] {
            manual_clock time;
            fault_injecting_store store(1);
            sender_fixture sender(time, store, "a");
            sender.orders->prepare_to_send();
            deliver(store);
            time.advance(3s);
            sender.send();
            sender.last_call().respond(200, {}, "0");
            deliver(store);
            sender.last_call().fail(call_progress::maybe_sent);
            CPPUNIT_ASSERT(sender.outcome == true);
            const auto calls_so_far = sender.client.calls.size();
            section("the engine gets no other order while it may still execute this one", [&] {
                time.advance(14s);
                CPPUNIT_ASSERT(sender.orders->prepare_to_send());
                CPPUNIT_ASSERT(!sender.orders->is_settled("e7"));
                sender.send();
                CPPUNIT_ASSERT(sender.outcome == false);
                CPPUNIT_ASSERT_EQUAL(calls_so_far, sender.client.calls.size());
            });
            section("another engine gets its order meanwhile", [&] {
                CPPUNIT_ASSERT(sender.orders->is_settled("e8"));
                sender.send("e8");
                sender.last_call().respond(200, {}, "0");
                deliver(store);
                CPPUNIT_ASSERT_EQUAL(std::string{"POST"}, sender.last_call().request.method);
                sender.last_call().respond(202, {}, "");
                CPPUNIT_ASSERT(sender.outcome == true);
                CPPUNIT_ASSERT(sender.orders->is_settled("e8"));
            });
            section("then it may get one again", [&] {
                time.advance(1s);
                CPPUNIT_ASSERT(sender.orders->prepare_to_send());
                CPPUNIT_ASSERT(sender.orders->is_settled("e7"));
                sender.send();
                CPPUNIT_ASSERT_EQUAL(std::string{"GET"}, sender.last_call().request.method);
            });
        });
    }

private:
    static std::uint64_t token_of(const http_request& order)
    {
        return std::stoull(find_header(order.headers, "token"));
    }

    static void deliver(fault_injecting_store& store)
    {
        while (store.deliver_random_response()) {
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(roles_tests);

} // namespace

} // namespace tanager
