// Usage through real gateways whose holder of the duty is killed, frozen or stopped: what the platform gets
// is what the servers have run, each window once or with the same counts.
#include "tests/support/gateway_group.h"

#include "testing/section.h"

#include <chrono>
#include <thread>

namespace tanager::testing {

namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr int organisations = 3;
// Counts that a gateway has sent twice are known to the holder and its deputy.
constexpr auto time_to_hand_over = 1'300ms;
constexpr std::int64_t lease_ms = 1'000;

class usage_fixture {
public:
    usage_fixture()
        : group(4,
                {"--timeout-ms", "5000", "--organisations", std::to_string(organisations)},
                {},
                "[roles]\norder_lease_ms = " + std::to_string(lease_ms) +
                    "\n[duties]\nkinds = usage_report\nper_second = 50\nusage_window_seconds = 2\n"
                    "usage_late_seconds = 8\n"),
          platform(group.standin_site.address("duties"))
    {
        this->group.wait_until_serving(2);
    }

    // Sends requests through all gateways in turn.
    void send(int count)
    {
        for (int index = 0; index < count; ++index) {
            auto member = this->group.members.begin();
            std::advance(member, index % static_cast<int>(this->group.members.size()));
            const auto organisation = std::to_string(this->sent % organisations);
            const http_request request{"POST",
                                       this->sent % 2 == 0 ? "/read/1" : "/stream/1?events=2",
                                       {{"Host", "shop.example"},
                                        {"Authorization", "Token key-" + organisation},
                                        {"Attempt-Id", "u" + std::to_string(this->sent)},
                                        {"Deadline-Ms", "5000"}},
                                       "x"};
            CPPUNIT_ASSERT_EQUAL(200, this->group.caller.fetch(member->second.address, request).status);
            ++this->sent;
            ++this->truth["org-" + organisation];
        }
    }

    std::string wait_for_holder()
    {
        for (;;) {
            for (const auto& [host, member] : this->group.members) {
                if (this->group.metric(host, R"(tanager_duty_held{subject="usage"})") == 1) {
                    return host;
                }
            }
            std::this_thread::sleep_for(50ms);
        }
    }

    void set_fault(const std::string& fault)
    {
        this->group.caller.post(this->platform, "/faults?" + fault);
    }

    json calls()
    {
        return json::parse(this->group.caller.get(this->platform, "/usage").body);
    }

    // Waits until the platform has as many requests as were sent, and checks what it got.
    void check_reports()
    {
        std::map<std::string, std::int64_t> reported;
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (reported != this->truth && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(100ms);
            reported = this->sum_of_windows();
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "counts of the organisations", json(this->truth).dump(), json(reported).dump());
        const auto all = this->calls();
        for (std::size_t index = 1; index < all.size(); ++index) {
            const auto& before = all[index - 1];
            const auto& call = all[index];
            if (before["holder"] == call["holder"]) {
                CPPUNIT_ASSERT(before["token"] <= call["token"]);
                continue;
            }
            CPPUNIT_ASSERT(before["token"] < call["token"]);
            CPPUNIT_ASSERT(call["atMs"].get<std::int64_t>() - before["atMs"].get<std::int64_t>() >=
                           lease_ms / 2);
        }
    }

    gateway_group group;
    std::string platform;

private:
    std::map<std::string, std::int64_t> sum_of_windows()
    {
        std::map<std::uint64_t, json> windows;
        std::map<std::string, std::int64_t> sums;
        for (const auto& call : this->calls()) {
            const auto [row, is_new] =
                windows.emplace(call["windowIndex"].get<std::uint64_t>(), call["counts"]);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                "a window with other counts", row->second.dump(), call["counts"].dump());
            for (const auto& [organisation, count] : call["counts"].items()) {
                sums[organisation] += is_new ? count.get<std::int64_t>() : 0;
            }
        }
        return sums;
    }

    int sent = 0;
    std::map<std::string, std::int64_t> truth;
};

class usage_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(usage_tests);
    CPPUNIT_TEST(a_holder_is_killed_between_write_and_report);
    CPPUNIT_TEST(a_holder_is_frozen_and_woken);
    CPPUNIT_TEST(a_holder_stops);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_holder_is_killed_between_write_and_report()
    {
        usage_fixture fixture;
        const auto holder = fixture.wait_for_holder();
        for (const auto* const fault : {"silent", "outage"}) {
            section(std::string{"the platform is down: "} + fault, [&] {
                fixture.send(40);
                std::this_thread::sleep_for(time_to_hand_over);
                fixture.set_fault(std::string{fault} + "=1");
                const auto first = fixture.wait_for_holder();
                fixture.group.members.at(first).process->wait_for_line("usage_postponed");
                fixture.group.kill(first);
                fixture.set_fault(std::string{fault} + "=0");
                fixture.send(10);
                fixture.check_reports();
                CPPUNIT_ASSERT(first != fixture.calls().back()["holder"].get<std::string>());
                fixture.group.start(first);
                fixture.group.wait_until_serving(2);
            });
        }
    }

    void a_holder_is_frozen_and_woken()
    {
        usage_fixture fixture;
        const auto holder = fixture.wait_for_holder();
        fixture.send(40);
        std::this_thread::sleep_for(time_to_hand_over);
        fixture.group.members.at(holder).process->send_signal(SIGSTOP);
        std::this_thread::sleep_for(6s);
        fixture.group.members.at(holder).process->send_signal(SIGCONT);
        fixture.send(20);
        fixture.check_reports();
    }

    void a_holder_stops()
    {
        usage_fixture fixture;
        const auto holder = fixture.wait_for_holder();
        fixture.send(40);
        fixture.group.members.at(holder).process->send_signal(SIGTERM);
        fixture.send(8); // it takes requests for some time
        CPPUNIT_ASSERT_EQUAL(0, fixture.group.members.at(holder).process->wait());
        fixture.group.members.erase(holder);
        fixture.send(6);
        fixture.check_reports();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_tests);

} // namespace

} // namespace tanager::testing
