#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "duties/usage_messages.h"
#include "duties/usage_reporter.h"
#include "net/mocks/fake_client.h"
#include "store/mocks/fault_injecting_store.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr auto lease = 3'000ms;
constexpr auto check_interval = 100ms;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

// A host's clock, whose time of day may differ from the others'.
class host_clock final : public clock {
public:
    host_clock(const manual_clock& base, duration step) : base(base), step(step) {}

    time_point now() const override
    {
        return this->base.now();
    }

    wall_time_point wall_now() const override
    {
        return this->base.wall_now() + std::chrono::duration_cast<wall_time_point::duration>(this->step);
    }

    const manual_clock& base;
    duration step;
};

class fake_usage_codec final : public usage_codec {
public:
    http_request
    encode_usage(const window_usage& usage, const std::string& holder, std::uint64_t token) const override
    {
        return {"POST",
                "/" + std::to_string(usage.window),
                {{"holder", holder}, {"token", std::to_string(token)}},
                nlohmann::json(usage.counts).dump()};
    }

    report_outcome decode_outcome(const http_response& response) const override
    {
        return response.status == status_ok ? report_outcome::accepted : report_outcome::postponed;
    }
};

// What the platform has seen.
struct platform_call {
    time_point at;
    std::string window;
    std::string holder;
    std::uint64_t token = 0;
    std::string counts;
};

class gateway_fleet;

// One process of a gateway.
class gateway final : public duty_channel {
public:
    gateway(gateway_fleet& fleet, const std::string& name, std::uint64_t seed, duration wall_step);

    void send_to_all(const std::string& message) override;
    void send_to(const std::string& receiver, const std::string& message) override;
    std::vector<std::string> live_gateways() const override;

    gateway_fleet& fleet;
    std::string name;
    host_clock time;
    seeded_random random;
    fake_client client;
    fake_usage_codec codec;
    metrics_registry metrics;
    usage_reporter reporter;
    std::size_t answered_calls = 0;
    bool is_frozen = false;
    bool is_unlisted = false; // it has left: the others no longer send it anything
};

// Gateways that share a store and a platform. Messages arrive at once unless their receiver is frozen.
class gateway_fleet {
public:
    explicit gateway_fleet(std::uint64_t seed) : seed(seed), store(seed) {}

    gateway& start(const std::string& name, duration wall_step = 0s)
    {
        auto& started = this->gateways[name];
        started = std::make_unique<gateway>(*this, name, ++this->seed, wall_step);
        return *started;
    }

    void kill(const std::string& name)
    {
        this->gateways.erase(name);
    }

    void run(duration span)
    {
        for (duration passed{0}; passed < span; passed += check_interval) {
            this->time.advance(check_interval);
            this->history.emplace_back(this->store.objects, this->store.last_revision());
            for (auto& [name, member] : this->gateways) {
                if (!member->is_frozen) {
                    member->reporter.check();
                }
            }
            while (this->store.deliver_random_response()) {
            }
            for (auto& [name, member] : this->gateways) {
                this->answer(*member);
            }
        }
    }

    void kill_all()
    {
        this->gateways.clear();
    }

    void start_all(const std::vector<std::string>& names)
    {
        for (const auto& name : names) {
            this->start(name);
        }
    }

    // Each gateway counts a request each second.
    void run_with_requests(int seconds)
    {
        for (int second = 0; second < seconds; ++second) {
            for (auto& [name, member] : this->gateways) {
                member->reporter.record_began("bank");
            }
            this->run(1s);
        }
    }

    void set_store_down(bool is_down)
    {
        this->store.fault_rates = is_down ? store_fault_rates{100, 0, 0} : store_fault_rates{};
    }

    // The store comes back from a copy of this age.
    void restore(duration age)
    {
        const auto steps =
            std::min<std::size_t>(static_cast<std::size_t>(age / check_interval), this->history.size() - 1);
        const auto& [objects, revision] = this->history[this->history.size() - 1 - steps];
        this->store.restore(objects, revision);
        this->set_store_down(false);
    }

    window_number current_window() const
    {
        return window_of(usage_windows{}, this->time.wall_now());
    }

    // Returns the windows between the first reported one and the last one that were not reported.
    std::size_t missing_windows() const
    {
        const auto counts = this->check_calls();
        const auto number = [](const auto& row) {
            return std::stoull(row.first.substr(1));
        };
        return counts.empty() ? 0 : number(*counts.rbegin()) - number(*counts.begin()) + 1 - counts.size();
    }

    std::uint64_t left_out() const
    {
        std::uint64_t windows = 0;
        for (const auto& [name, member] : this->gateways) {
            windows += member->metrics.counter_value("tanager_usage_windows_left_out_total");
        }
        return windows;
    }

    // Checks that the last window that is due was reported.
    void check_reports_go_on() const
    {
        CPPUNIT_ASSERT(!this->calls.empty());
        const auto last = std::stoull(this->check_calls().rbegin()->first.substr(1));
        CPPUNIT_ASSERT_MESSAGE("reports have ended", last + 2 >= this->current_window());
    }

    void answer(gateway& member)
    {
        while (!member.is_frozen && member.answered_calls < member.client.calls.size()) {
            const auto call = member.client.calls[member.answered_calls++];
            if (this->platform_status == status_ok) {
                this->calls.push_back({this->time.now(),
                                       call->request.path,
                                       find_header(call->request.headers, "holder"),
                                       std::stoull(find_header(call->request.headers, "token")),
                                       call->request.body});
            }
            call->respond(this->platform_status, {}, {});
        }
    }

    // Checks what the platform demands, and returns the counts by window.
    std::map<std::string, std::string> check_calls() const
    {
        std::map<std::string, std::string> counts;
        for (std::size_t index = 0; index < this->calls.size(); ++index) {
            const auto& call = this->calls[index];
            const auto [row, is_new] = counts.emplace(call.window, call.counts);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("counts of a window differ", row->second, call.counts);
            for (std::size_t earlier = 0; earlier < index; ++earlier) {
                const auto& before = this->calls[earlier];
                if (before.holder == call.holder) {
                    CPPUNIT_ASSERT(before.token <= call.token);
                } else {
                    CPPUNIT_ASSERT_MESSAGE("a token that is used twice, or a lower one",
                                           before.token < call.token);
                    CPPUNIT_ASSERT_MESSAGE("within the lease of another", call.at - before.at >= lease / 2);
                }
            }
        }
        return counts;
    }

    std::uint64_t sum(const std::string& organisation) const
    {
        std::uint64_t total = 0;
        for (const auto& [window, counts] : this->check_calls()) {
            total += nlohmann::json::parse(counts).value(organisation, std::uint64_t{0});
        }
        return total;
    }

    std::string holder() const
    {
        return this->calls.empty() ? std::string{} : this->calls.back().holder;
    }

    std::uint64_t seed;
    manual_clock time;
    fault_injecting_store store;
    std::map<std::string, std::unique_ptr<gateway>> gateways;
    std::vector<platform_call> calls;
    std::vector<std::pair<std::map<std::string, stored_object>, std::uint64_t>> history; // of the store
    int platform_status = status_ok;
    std::chrono::milliseconds lease_setting = lease; // of gateways that are started
    bool loses_messages = false;
};

gateway::gateway(gateway_fleet& fleet, const std::string& name, std::uint64_t seed, duration wall_step)
    : fleet(fleet),
      name(name),
      time(fleet.time, wall_step),
      random(seed),
      reporter(this->time,
               fleet.store,
               this->client,
               this->codec,
               *this,
               this->metrics,
               this->random,
               {{name, fleet.lease_setting}, {"10.0.0.1", 80}, {}, 50})
{
}

void gateway::send_to_all(const std::string& message)
{
    for (const auto& other : this->live_gateways()) {
        this->send_to(other, message);
    }
}

void gateway::send_to(const std::string& receiver, const std::string& message)
{
    const bool is_lost = this->fleet.loses_messages && this->random.next() % 3 == 0;
    const auto found = this->fleet.gateways.find(receiver);
    if (!is_lost && found != this->fleet.gateways.end() && !found->second->is_frozen &&
        !found->second->is_unlisted) {
        CPPUNIT_ASSERT(found->second->reporter.receive(message));
    }
}

std::vector<std::string> gateway::live_gateways() const
{
    std::vector<std::string> names;
    for (const auto& [other, member] : this->fleet.gateways) {
        if (other != this->name && !this->is_unlisted && !member->is_unlisted) {
            names.push_back(other);
        }
    }
    return names;
}

class duties_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(duties_tests);
    CPPUNIT_TEST(one_gateway_holds_a_duty);
    CPPUNIT_TEST(clocks_step);
    CPPUNIT_TEST(counts_are_handed_over);
    CPPUNIT_TEST(messages_are_read_back);
    CPPUNIT_TEST(usage_is_reported_once);
    CPPUNIT_TEST(a_lease_is_too_short_to_act_in);
    CPPUNIT_TEST(holders_end);
    CPPUNIT_TEST(a_gateway_that_has_left_takes_requests);
    CPPUNIT_TEST(gateways_stop_while_the_store_is_away);
    CPPUNIT_TEST(the_platform_is_away);
    CPPUNIT_TEST(the_store_comes_back_from_a_copy);
    CPPUNIT_TEST(all_gateways_end_while_the_store_comes_back_from_a_copy);
    CPPUNIT_TEST(ends_and_returns_come_in_any_order);
    CPPUNIT_TEST(no_window_is_left_out_that_is_known);
    CPPUNIT_TEST(faults_come_together);
    CPPUNIT_TEST_SUITE_END();

public:
    void one_gateway_holds_a_duty()
    {
        section("several gateways start", [] {
            manual_clock time;
            duty_lease first(time, {"a", lease});
            duty_lease second(time, {"b", lease});
            CPPUNIT_ASSERT(!first.should_acquire({"b"}));
            time.advance(3s);
            section("the first by name takes the duty, the next one only some time later", [&] {
                CPPUNIT_ASSERT(first.should_acquire({"b"}));
                CPPUNIT_ASSERT(!second.should_acquire({"a"}));
                time.advance(1'500ms);
                CPPUNIT_ASSERT(second.should_acquire({"a"}));
            });
            section("the holder waits until its predecessor's lease is over", [&] {
                second.check();
                second.record_acquired(5, time.now(), false);
                CPPUNIT_ASSERT(second.is_holder());
                for (duration passed{0}; passed < lease - check_interval; passed += check_interval) {
                    time.advance(check_interval);
                    CPPUNIT_ASSERT(second.check());
                }
                time.advance(check_interval - 1ms);
                second.record_confirmed(6, time.now());
                CPPUNIT_ASSERT(!second.may_act());
                time.advance(1ms);
                CPPUNIT_ASSERT(second.may_act());
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, second.token());
            });
            section("it acts only shortly after it has confirmed itself", [&] {
                time.advance(501ms);
                CPPUNIT_ASSERT(!second.may_act());
            });
            section("while it is heard, no other gateway takes the duty", [&] {
                first.record_holder("b", 6, false);
                time.advance(1'900ms);
                CPPUNIT_ASSERT(!first.should_acquire({"b"}));
                CPPUNIT_ASSERT(first.holder() == "b");
                time.advance(100ms);
                CPPUNIT_ASSERT(first.should_acquire({"b"}));
                CPPUNIT_ASSERT(!first.holder());
            });
            section("a holder that resigns is followed at once", [&] {
                first.record_holder("b", 6, false);
                first.record_holder("b", 6, true);
                CPPUNIT_ASSERT(first.should_acquire({"b"}));
            });
            section("an announcement of an earlier holder changes nothing", [&] {
                first.record_holder("c", 4, false);
                CPPUNIT_ASSERT(!first.holder());
            });
            section("a holder steps down after a standstill", [&] {
                CPPUNIT_ASSERT(!second.check());
                CPPUNIT_ASSERT(!second.is_holder());
            });
            section("and when it hears of a later one", [&] {
                second.record_acquired(7, time.now(), false);
                second.record_holder("a", 8, false);
                CPPUNIT_ASSERT(!second.is_holder());
            });
        });
    }

    void clocks_step()
    {
        manual_clock time;
        constexpr auto tolerance = 250ms;
        const auto shifted = [&time](duration step) {
            return time.wall_now() + std::chrono::duration_cast<wall_time_point::duration>(step);
        };
        section("the time of day of a host jumps: a running process goes on with the steady clock", [&] {
            host_clock host(time, 0s);
            const true_time truth(host, tolerance);
            host.step = -7s;
            time.advance(10s);
            CPPUNIT_ASSERT(truth.now() == time.wall_now());
        });
        section("a process starts on a host with a wrong time", [&] {
            const host_clock host(time, 7s);
            true_time truth(host, tolerance);
            section("two times don't tell which one is right", [&] {
                CPPUNIT_ASSERT(!truth.record_agreed(time.wall_now(), 2));
                truth.record_claim("a", time.wall_now());
                CPPUNIT_ASSERT(!truth.agree());
                CPPUNIT_ASSERT(truth.now() == shifted(7s));
            });
            section("it takes the time that the holder tells for several, twice", [&] {
                CPPUNIT_ASSERT(!truth.record_agreed(time.wall_now(), 3));
                time.advance(500ms);
                CPPUNIT_ASSERT(truth.record_agreed(time.wall_now(), 3));
                CPPUNIT_ASSERT(truth.now() == time.wall_now());
            });
        });
        section("a process is woken: old messages of the holder arrive at once, then a new one", [&] {
            true_time truth(time, tolerance);
            for (const auto age : {3'600ms, 3'100ms, 2'600ms, 2'500ms, 600ms}) {
                CPPUNIT_ASSERT(!truth.record_agreed(shifted(-age), 3));
            }
            time.advance(500ms);
            CPPUNIT_ASSERT(!truth.record_agreed(time.wall_now(), 3));
            CPPUNIT_ASSERT(truth.now() == time.wall_now());
        });
        section("the holder's own time is wrong: it takes the median", [&] {
            const host_clock host(time, -4s);
            true_time truth(host, tolerance);
            truth.record_claim("a", shifted(20ms));
            truth.record_claim("b", shifted(-30ms));
            truth.record_claim("c", shifted(9s));
            CPPUNIT_ASSERT(truth.agree());
            CPPUNIT_ASSERT(std::chrono::abs(truth.now() - time.wall_now()) < 50ms);
            section("claims that are old no longer count", [&] {
                time.advance(11s);
                CPPUNIT_ASSERT(!truth.agree());
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, truth.voters());
            });
        });
        section("small differences change nothing", [&] {
            true_time truth(time, tolerance);
            CPPUNIT_ASSERT(!truth.record_agreed(shifted(250ms), 20));
            CPPUNIT_ASSERT(truth.now() == time.wall_now());
        });
    }

    void counts_are_handed_over()
    {
        constexpr auto holder = usage_outbox::receiver::holder;
        constexpr std::size_t bytes = 1'000;
        usage_outbox outbox;
        outbox.record(7, "bank");
        outbox.record(7, "bank");
        section("counts are repeated until the holder has acknowledged them", [&] {
            outbox.set_receiver(holder, "a");
            const auto batch = outbox.next_batch(holder, bytes);
            CPPUNIT_ASSERT(batch.entries == (std::vector<usage_entry>{{7, "bank", 2}}));
            CPPUNIT_ASSERT(outbox.next_batch(holder, bytes).entries == batch.entries);
            outbox.acknowledge("b", 1, batch.sequence);
            CPPUNIT_ASSERT(!outbox.next_batch(holder, bytes).entries.empty());
            outbox.acknowledge("a", 1, batch.sequence);
            CPPUNIT_ASSERT(outbox.next_batch(holder, bytes).entries.empty());
        });
        section("then only what has changed is sent, the whole count", [&] {
            outbox.record(7, "bank");
            outbox.record(8, "shop");
            const auto batch = outbox.next_batch(holder, bytes);
            CPPUNIT_ASSERT(batch.entries == (std::vector<usage_entry>{{7, "bank", 3}, {8, "shop", 1}}));
            outbox.acknowledge("a", 1, batch.sequence);
        });
        section("another process or another holder gets all again", [&] {
            outbox.record(8, "shop");
            outbox.acknowledge("a", 2, outbox.next_batch(holder, bytes).sequence);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.next_batch(holder, bytes).entries.size());
            outbox.set_receiver(holder, "c");
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outbox.next_batch(holder, bytes).entries.size());
        });
        section("a message is bounded",
                [&] { CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outbox.next_batch(holder, 30).entries.size()); });
        section("fixed windows are not sent", [&] {
            outbox.drop_through(7);
            CPPUNIT_ASSERT(outbox.next_batch(holder, bytes).entries ==
                           (std::vector<usage_entry>{{8, "shop", 2}}));
        });
        section("the holder adds up the processes' largest counts", [] {
            usage_ledger ledger;
            CPPUNIT_ASSERT(ledger.record(1, {7, "bank", 3}));
            CPPUNIT_ASSERT(ledger.record(1, {7, "bank", 2}));
            CPPUNIT_ASSERT(ledger.record(2, {7, "bank", 4}));
            CPPUNIT_ASSERT(ledger.record(2, {8, "bank", 1}));
            CPPUNIT_ASSERT(ledger.counts_in(7) == (organisation_counts{{"bank", 7}}));
            ledger.drop_through(7);
            CPPUNIT_ASSERT(!ledger.record(3, {7, "bank", 1}));
            CPPUNIT_ASSERT(ledger.counts_in(8) == (organisation_counts{{"bank", 1}}));
        });
    }

    void messages_are_read_back()
    {
        const usage_sender sender{"a", 17, wall_time_point{1'000'000s}};
        const std::vector<usage_message> messages{
            usage_counts_message{sender, 3, {{7, "bank", 2}, {8, "shop", 900}}},
            usage_acknowledgement{sender, 3},
            usage_announcement{sender, 12, 26, 7, true},
            usage_fixed_notice{sender, 7}};
        for (const auto& message : messages) {
            const auto bytes = encode_usage_message(message);
            CPPUNIT_ASSERT(decode_usage_message(bytes) == message);
            for (std::size_t length = 0; length < bytes.size(); ++length) {
                CPPUNIT_ASSERT(!decode_usage_message(bytes.substr(0, length)));
            }
            CPPUNIT_ASSERT(!decode_usage_message(bytes + "x"));
        }
        section("a time beyond what clocks can hold is bounded", [&sender] {
            auto distant = sender;
            distant.time = wall_time_point::max();
            const auto bytes = encode_usage_message(usage_acknowledgement{distant, 3});
            const auto decoded = decode_usage_message(bytes);
            CPPUNIT_ASSERT(decoded);
            const auto time = std::get<usage_acknowledgement>(*decoded).sender.time;
            CPPUNIT_ASSERT(time > sender.time);
            // Differences of two times are taken.
            CPPUNIT_ASSERT(time < wall_time_point{wall_time_point::max().time_since_epoch() / 2});
        });
        const usage_state state{7, {{7, {{"bank", 2}, {"shop", 900}}}}, 3};
        CPPUNIT_ASSERT(decode_usage_state(encode_usage_state(state)) == state);
        CPPUNIT_ASSERT(decode_usage_state(R"({"fixed_through":7,"unsent":[]})") == (usage_state{7, {}, 0}));
        CPPUNIT_ASSERT(!decode_usage_state(R"({"fixed_through":7,"unsent":[],"era":"x"})"));
        CPPUNIT_ASSERT(decode_usage_state("") == usage_state{});
        CPPUNIT_ASSERT(!decode_usage_state("[7]"));
        CPPUNIT_ASSERT(!decode_usage_state(R"({"fixed_through":7,"unsent":[{"window":"x"}]})"));
    }

    void usage_is_reported_once()
    {
        gateway_fleet fleet(1);
        for (const auto* name : {"a", "b", "c"}) {
            fleet.start(name);
        }
        fleet.run(11s);
        for (int request = 0; request < 30; ++request) {
            fleet.gateways.at("b")->reporter.record_began("bank");
            fleet.gateways.at("c")->reporter.record_began(request % 3 == 0 ? "shop" : "bank");
        }
        fleet.run(5s + 3s);
        section("one report for each window, in time, from one holder", [&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.calls.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, fleet.check_calls().size());
            CPPUNIT_ASSERT_EQUAL(std::string{"a"}, fleet.holder());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{50}, fleet.sum("bank"));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, fleet.sum("shop"));
        });
        section("a gateway with a wrong time counts in the right windows", [&] {
            auto& late = fleet.start("d", 20s);
            fleet.run(2s);
            late.reporter.record_began("mill");
            fleet.run(10s);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.sum("mill"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, fleet.check_calls().size());
        });
        section("what it counts before it knows the time is not kept for windows to come", [&] {
            for (const auto* name : {"b", "c"}) { // the holder hears the time of those that count
                fleet.gateways.at(name)->reporter.record_began("bank");
            }
            auto& late = fleet.start("e", 20s);
            late.reporter.record_began("yard");
            fleet.run(12s);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.sum("yard"));
        });
    }

    void a_lease_is_too_short_to_act_in()
    {
        gateway_fleet fleet(9);
        fleet.lease_setting = 0ms;
        for (const auto* name : {"a", "b"}) {
            fleet.start(name);
        }
        fleet.run(11s);
        fleet.gateways.at("b")->reporter.record_began("bank");
        fleet.run(8s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.sum("bank"));
        CPPUNIT_ASSERT(fleet.gateways.at("a")->client.calls.front()->options.timeout > 0ms);
    }

    void holders_end()
    {
        section("the holder is killed after it has fixed a window, before it has sent it", [] {
            gateway_fleet fleet(2);
            for (const auto* name : {"a", "b", "c"}) {
                fleet.start(name);
            }
            fleet.run(8s);
            fleet.gateways.at("a")->reporter.record_began("bank");
            fleet.gateways.at("c")->reporter.record_began("bank");
            fleet.platform_status = status_unavailable;
            fleet.run(5s);
            fleet.kill("a");
            fleet.platform_status = status_ok;
            fleet.run(6s);
            CPPUNIT_ASSERT_EQUAL(std::string{"b"}, fleet.holder());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.sum("bank"));
            section("a gateway that starts again under its name does not take the duty back", [&] {
                fleet.start("a");
                fleet.run(12s);
                CPPUNIT_ASSERT_EQUAL(std::string{"b"}, fleet.holder());
                static_cast<void>(fleet.check_calls());
            });
        });
        section("the holder is frozen and woken", [] {
            gateway_fleet fleet(3);
            for (const auto* name : {"a", "b", "c"}) {
                fleet.start(name);
            }
            fleet.run(11s);
            fleet.gateways.at("a")->is_frozen = true;
            fleet.gateways.at("b")->reporter.record_began("bank");
            fleet.run(8s);
            fleet.gateways.at("a")->is_frozen = false;
            fleet.run(10s);
            CPPUNIT_ASSERT_EQUAL(std::string{"b"}, fleet.holder());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.sum("bank"));
        });
        section("the holder stops: its counts are handed over, and the next one acts after its lease", [] {
            gateway_fleet fleet(4);
            for (const auto* name : {"a", "b", "c"}) {
                fleet.start(name);
            }
            fleet.run(11s);
            fleet.gateways.at("a")->reporter.record_began("bank");
            fleet.gateways.at("a")->reporter.leave();
            fleet.gateways.at("a")->reporter.record_began("bank");
            fleet.gateways.at("a")->reporter.flush();
            fleet.run(100ms);
            fleet.kill("a");
            fleet.run(9s);
            CPPUNIT_ASSERT_EQUAL(std::string{"b"}, fleet.holder());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, fleet.sum("bank"));
        });
    }

    void a_gateway_that_has_left_takes_requests()
    {
        for (const auto* leaving : {"a", "b", "c"}) {
            section(std::string{leaving} + " leaves", [leaving] {
                gateway_fleet fleet(8);
                for (const auto* name : {"a", "b", "c", "d"}) {
                    fleet.start(name);
                }
                fleet.run(11s);
                auto& member = *fleet.gateways.at(leaving);
                member.reporter.leave();
                member.is_unlisted = true;
                fleet.run(2'500ms);
                member.reporter.record_began("bank");
                member.reporter.flush();
                fleet.kill(leaving);
                fleet.run(12s);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.sum("bank"));
            });
        }
    }

    void gateways_stop_while_the_store_is_away()
    {
        gateway_fleet fleet(7);
        for (const auto* name : {"a", "b", "c", "d", "e", "f"}) {
            fleet.start(name);
        }
        fleet.run(8s);
        fleet.store.fault_rates = {100, 0, 0};
        std::uint64_t requests = 0;
        for (const auto* name : {"e", "a", "b", "c"}) {
            for (const auto& [other, member] : fleet.gateways) {
                member->reporter.record_began("bank");
                ++requests;
            }
            fleet.run(1s);
            fleet.gateways.at(name)->reporter.leave();
            fleet.run(1s);
            fleet.gateways.at(name)->reporter.flush();
            fleet.kill(name);
        }
        fleet.store.fault_rates = {};
        fleet.run(15s);
        CPPUNIT_ASSERT_EQUAL(requests, fleet.sum("bank"));
    }

    void the_platform_is_away()
    {
        gateway_fleet fleet(5);
        for (const auto* name : {"a", "b", "c"}) {
            fleet.start(name);
        }
        fleet.run(8s);
        fleet.platform_status = status_unavailable;
        for (int second = 0; second < 24; ++second) {
            fleet.gateways.at("b")->reporter.record_began("bank");
            fleet.run(1s);
        }
        const auto reported = fleet.calls.size();
        fleet.platform_status = status_ok;
        fleet.run(8s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{24}, fleet.sum("bank"));
        CPPUNIT_ASSERT(fleet.calls.size() >= reported + 5);
        CPPUNIT_ASSERT(std::ranges::is_sorted(
            fleet.calls, {}, [](const auto& call) { return std::stoull(call.window.substr(1)); }));
    }

    void the_store_comes_back_from_a_copy()
    {
        gateway_fleet fleet(6);
        for (const auto* name : {"a", "b", "c"}) {
            fleet.start(name);
        }
        const auto count_for = [&fleet](int seconds) {
            for (int second = 0; second < seconds; ++second) {
                fleet.gateways.at("b")->reporter.record_began("bank");
                fleet.run(1s);
            }
        };
        count_for(12);
        const auto copy = fleet.store.objects;
        const auto copied = fleet.store.last_revision();
        count_for(10);
        fleet.store.restore(copy, copied);
        count_for(20);
        section("no window is sent again with other counts, tokens rise, and all is reported", [&] {
            fleet.run(10s);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, fleet.sum("bank"));
        });
        section("the holder is killed at the same moment: its successor knows what was fixed", [&] {
            const auto older = fleet.store.objects;
            const auto older_revision = fleet.store.last_revision();
            count_for(10);
            fleet.kill("a");
            fleet.store.restore(older, older_revision);
            count_for(10);
            fleet.run(10s);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{62}, fleet.sum("bank"));
        });
    }

    // Guards against a window that is reported twice with different counts: the copy lacks it, and no process
    // that knew of it is left.
    void all_gateways_end_while_the_store_comes_back_from_a_copy()
    {
        const std::vector<std::string> names{"a", "b"};
        gateway_fleet fleet(10);
        fleet.start_all(names);
        fleet.run_with_requests(20);
        const auto reported = fleet.calls.size();
        while (fleet.calls.size() == reported) {
            fleet.run_with_requests(1);
        }
        fleet.set_store_down(true);
        fleet.kill_all();
        fleet.run(500ms);
        fleet.start_all(names);
        fleet.run(500ms);
        fleet.restore(4s);
        const auto back_at = fleet.current_window();
        fleet.run_with_requests(20);
        section("the window is not reported again, and is logged as left out", [&] {
            fleet.check_reports_go_on();
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fleet.left_out());
        });
        section("the windows that end after the return are reported", [&] {
            const auto counts = fleet.check_calls();
            for (auto window = back_at; window + 2 < fleet.current_window(); ++window) {
                CPPUNIT_ASSERT(counts.contains("/" + std::to_string(window)));
            }
        });
        section("an end of all after a further return: nothing was fixed in the era between", [&] {
            fleet.restore(15s);
            fleet.run(2s);
            fleet.restore(1s);
            fleet.kill_all();
            fleet.run(500ms);
            fleet.start_all(names);
            fleet.run_with_requests(25);
            fleet.check_reports_go_on();
        });
        section("the object of the duty is younger than the copy", [] {
            gateway_fleet young(11);
            young.run(1s);
            young.start_all({"a", "b"});
            young.run_with_requests(15);
            CPPUNIT_ASSERT(!young.calls.empty());
            young.kill_all();
            young.start_all({"a", "b"});
            young.restore(60s);
            young.run_with_requests(20);
            young.check_reports_go_on();
        });
    }

    // Returns of the store, some soon after another, and ends of all gateways before, during and after them.
    // One host's time may be wrong, and in half of the series a third of the messages is lost.
    void ends_and_returns_come_in_any_order()
    {
        constexpr std::uint64_t seeds = 60;
        const std::vector<std::string> names{"a", "b", "c"};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            section("seed " + std::to_string(seed), [seed, &names] {
                seeded_random random(seed);
                gateway_fleet fleet(seed);
                const auto tenths = [&random](std::uint64_t most) {
                    return std::chrono::milliseconds{100} * static_cast<int>(random.next() % (most + 1));
                };
                const auto count_for = [&fleet](duration span) {
                    for (duration passed{0}; passed < span; passed += check_interval) {
                        for (auto& [name, member] : fleet.gateways) {
                            member->reporter.record_began("bank");
                        }
                        fleet.run(check_interval);
                    }
                };
                const auto start = [&](const std::string& name) {
                    fleet.start(name, name == "b" && random.next() % 3 == 0 ? 8s : 0s);
                };
                const auto end_all = [&] {
                    const bool is_planned = random.next() % 2 == 0;
                    const bool is_one_by_one = random.next() % 3 == 0;
                    for (const auto& name : names) {
                        if (is_planned) {
                            fleet.gateways.at(name)->reporter.leave();
                            fleet.gateways.at(name)->reporter.flush();
                        }
                        if (is_one_by_one) {
                            fleet.kill(name);
                            count_for(tenths(8));
                            start(name);
                        }
                    }
                    if (!is_one_by_one) {
                        fleet.kill_all();
                        fleet.run(tenths(15));
                        std::ranges::for_each(names, start);
                    }
                };
                fleet.start_all(names);
                fleet.loses_messages = seed % 2 == 0;
                count_for(17s + tenths(50));
                for (auto returns = 1 + random.next() % 3; returns > 0; --returns) {
                    const auto order = random.next() % 4;
                    if (order == 0) {
                        end_all();
                        count_for(tenths(20));
                    }
                    fleet.set_store_down(true);
                    count_for(tenths(20));
                    if (order == 1) {
                        end_all();
                    }
                    count_for(tenths(25));
                    fleet.restore(1s + tenths(150));
                    if (order == 2) {
                        count_for(tenths(60));
                        end_all();
                    }
                    count_for(random.next() % 2 == 0 ? tenths(30) : 5s + tenths(100));
                }
                fleet.loses_messages = false;
                count_for(25s);
                fleet.check_reports_go_on();
            });
        }
    }

    void no_window_is_left_out_that_is_known()
    {
        constexpr std::uint64_t seeds = 20;
        const std::vector<std::string> names{"b", "c", "d"};
        const auto check_all_reported = [](gateway_fleet& fleet) {
            fleet.run(25s);
            fleet.check_reports_go_on();
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.missing_windows());
        };
        const auto end_all = [&names](gateway_fleet& fleet) {
            fleet.kill_all();
            fleet.run(500ms);
            fleet.start_all(names);
        };
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto name = [seed](const std::string& condition) {
                return condition + ", offset " + std::to_string(seed);
            };
            gateway_fleet fleet(seed);
            fleet.start_all(names);
            fleet.run(17s + std::chrono::milliseconds{250} * static_cast<int>(seed));
            section(name("all gateways end, the store keeps what it has"), [&] {
                end_all(fleet);
                check_all_reported(fleet);
            });
            section(name("the gateways live through a return"), [&] {
                fleet.set_store_down(true);
                fleet.run(std::chrono::milliseconds{300} * static_cast<int>(seed));
                fleet.restore(4s);
                check_all_reported(fleet);
            });
            section(name("all end some time after it"), [&] {
                end_all(fleet);
                check_all_reported(fleet);
            });
            section(name("one that starts while the store is away is told by the others"), [&] {
                const auto holder = fleet.holder();
                fleet.set_store_down(true);
                fleet.kill(holder);
                fleet.start("a");
                fleet.run(2'900ms);
                fleet.restore(4s);
                check_all_reported(fleet);
                CPPUNIT_ASSERT_EQUAL(std::string{"a"}, fleet.holder());
            });
        }
    }

    // Gateways are killed, frozen and restarted in turn, while the store rejects calls and loses answers, and
    // messages are lost.
    void faults_come_together()
    {
        constexpr std::uint64_t seeds = 20;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            section("seed " + std::to_string(seed), [seed] {
                gateway_fleet fleet(seed);
                seeded_random random(seed);
                const std::vector<std::string> names{"a", "b", "c", "d", "e"};
                for (const auto& name : names) {
                    fleet.start(name);
                }
                fleet.loses_messages = true;
                fleet.store.fault_rates = {10, 10, 5};
                std::uint64_t requests = 0;
                for (int second = 0; second < 60; ++second) {
                    const auto& victim = names[random.next() % names.size()];
                    auto& member = fleet.gateways.at(victim);
                    const bool acts = second % 4 == 0;
                    if (acts && random.next() % 2 == 0) {
                        member.reset();
                        fleet.kill(victim);
                        fleet.run(500ms);
                        fleet.start(victim, random.next() % 3 == 0 ? 8s : 0s);
                    } else if (acts) {
                        member->is_frozen = true;
                        fleet.run(3'500ms);
                        member->is_frozen = false;
                    }
                    for (const auto& [name, other] : fleet.gateways) {
                        other->reporter.record_began("bank");
                        ++requests;
                    }
                    fleet.run(1s);
                }
                fleet.loses_messages = false;
                fleet.store.fault_rates = {};
                fleet.run(15s);
                CPPUNIT_ASSERT(fleet.check_calls().size() > 10);
                // Little is lost though messages are: at most what was counted since the last message, and
                // what a process with a wrong time has counted before it knew.
                const auto reported = fleet.sum("bank");
                CPPUNIT_ASSERT_MESSAGE(std::to_string(reported) + " of " + std::to_string(requests),
                                       reported <= requests && reported * 100 >= requests * 85);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(duties_tests);

} // namespace

} // namespace tanager
