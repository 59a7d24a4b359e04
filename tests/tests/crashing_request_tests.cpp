// A request that ends each backend server that begins to run it comes again and again at all gateways. Guards
// against gateways that forget it when it ends: it then takes down server after server, and with each of them
// the requests that run beside it.
#include "testing/section.h"
#include "tests/support/crashing_fleet.h"
#include "tests/support/gateway_group.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

// What the users' rule allows after the third server has ended.
constexpr auto knowledge_delay = 3s;
constexpr std::size_t crashes_to_learn_from = 3;
constexpr std::size_t max_late_crashes = 3;
constexpr int server_count = 6;
constexpr auto culprit_interval = 400ms;
constexpr auto innocent_interval = 25ms;
// Enough for several waves of crashes after the delay.
constexpr auto observation_time = 4s;
constexpr auto max_observation_time = 15s;
// A request of which only the body tells whether it is the culprit.
struct repeated_request {
    std::string method = "POST";
    std::string path;
    std::string body;
};

struct observed_result {
    std::size_t crashes = 0;
    std::size_t late_crashes = 0;
    std::size_t innocent_requests = 0;
    std::size_t unserved_innocents = 0;
    std::size_t final_unserved_innocents = 0; // sent after the last crash, with all servers back
    std::vector<std::string> log_of_unserved; // lines of their gateways on them, and on the server list

    std::string to_text() const
    {
        auto text = std::to_string(this->crashes) + " servers ended, " + std::to_string(this->late_crashes) +
                    " of them late; of " + std::to_string(this->innocent_requests) + " innocent requests " +
                    std::to_string(this->unserved_innocents) + " were not served, " +
                    std::to_string(this->final_unserved_innocents) + " of them with all servers back";
        for (const auto& line : this->log_of_unserved) {
            text += "\n" + line;
        }
        return text;
    }
};

// Sends the culprit and innocent requests to all gateways in turn, until some seconds after the moment from
// which the culprit may reach no more servers.
class request_sender {
public:
    request_sender(int gateway_count, const std::string& crash_mode, repeated_request culprit)
        : group(gateway_count, {"--servers", "0", "--timeout-ms", "3000"}),
          fleet(group, server_count, {"--crash-mode", crash_mode}),
          culprit(std::move(culprit)),
          gateways(group.wait_until_serving(server_count))
    {
    }

    observed_result run()
    {
        auto& loop = this->group.caller.loop();
        const auto supervision = loop.run_every(20ms, [this] { this->fleet.supervise(); });
        const auto culprits = loop.run_every(culprit_interval, [this] {
            for (int caller = 0; caller < 2; ++caller) {
                this->send(this->culprit);
            }
        });
        const auto innocents = loop.run_every(innocent_interval, [this] {
            this->innocents.push_back(
                this->send({"POST", "/read/1?work_ms=20", "innocent " + std::to_string(this->sent_count)}));
        });
        const auto begun_at = steady_clock::now();
        this->group.caller.run_until([&] {
            const auto& crashes = this->fleet.crashes;
            const auto observed_from = crashes.size() < crashes_to_learn_from
                                           ? begun_at + knowledge_delay
                                           : crashes[crashes_to_learn_from - 1];
            const auto observed_for = steady_clock::now() - observed_from - knowledge_delay;
            return observed_for > max_observation_time ||
                   (observed_for > observation_time &&
                    this->fleet.was_whole(steady_clock::now() - observation_time));
        });
        this->group.caller.run_until([this] {
            return std::ranges::all_of(this->innocents, [](const sent_request& innocent) {
                return innocent.response->is_finished();
            });
        });
        return this->collect_result();
    }

private:
    observed_result collect_result() const
    {
        observed_result result;
        result.crashes = this->fleet.crashes.size();
        result.late_crashes = this->fleet.crashes_later_than(crashes_to_learn_from, knowledge_delay);
        for (const auto& [sent_at, id, response] : this->innocents) {
            const bool is_served = response->response && response->response->status == 200;
            ++result.innocent_requests;
            result.unserved_innocents += is_served ? 0 : 1;
            if (is_served || !this->fleet.was_whole(sent_at)) {
                continue;
            }
            ++result.final_unserved_innocents;
            for (const auto& [host, each] : this->group.members) {
                if (!each.process->has_line("request=" + id + " ")) {
                    continue;
                }
                for (const auto& text :
                     {"request=" + id + " ", std::string{" server_"}, std::string{"relay"}}) {
                    std::ranges::copy(each.process->matching_lines(text),
                                      std::back_inserter(result.log_of_unserved));
                }
            }
        }
        return result;
    }

    struct sent_request {
        steady_clock::time_point sent_at;
        std::string id;
        std::shared_ptr<async_response> response;
    };

    sent_request send(const repeated_request& request)
    {
        const auto& gateway = this->gateways[this->sent_count % this->gateways.size()];
        auto id = "r" + std::to_string(++this->sent_count);
        auto response =
            this->group.caller.start(gateway,
                                     {request.method,
                                      request.path,
                                      {{"Host", "shop.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "3000"}},
                                      request.body});
        return {steady_clock::now(), std::move(id), std::move(response)};
    }

    gateway_group group;
    crashing_fleet fleet;
    repeated_request culprit;
    std::vector<std::string> gateways;
    std::vector<sent_request> innocents;
    std::size_t sent_count = 0;
};

class crashing_request_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_request_tests);
    CPPUNIT_TEST(a_request_that_ended_three_servers_ends_no_more_when_they_reset_connections);
    CPPUNIT_TEST(a_request_that_ended_three_servers_ends_no_more_when_they_close_connections);
    CPPUNIT_TEST(a_request_that_ended_three_servers_ends_no_more_when_they_fall_silent);
    CPPUNIT_TEST(a_request_that_ended_three_servers_ends_no_more_when_it_may_not_be_retried);
    CPPUNIT_TEST(a_request_that_ended_three_servers_ends_no_more_when_it_has_no_body);
    CPPUNIT_TEST(a_request_that_ended_three_servers_ends_no_more_with_one_gateway);
    CPPUNIT_TEST_SUITE_END();

public:
    static void check(int gateway_count, const std::string& crash_mode, const repeated_request& culprit)
    {
        const auto result = request_sender(gateway_count, crash_mode, culprit).run();
        section("it ends at most three servers once all gateways can know",
                [&] { CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.late_crashes <= max_late_crashes); });
        section("it is found out", [&] { CPPUNIT_ASSERT_MESSAGE(result.to_text(), result.crashes >= 2); });
        section("once all servers are back, every innocent request is served", [&] {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(result.to_text(), std::size_t{0}, result.final_unserved_innocents);
        });
    }

    void a_request_that_ended_three_servers_ends_no_more_when_they_reset_connections()
    {
        check(4, "reset", {"POST", "/read/1", "crash"});
    }

    void a_request_that_ended_three_servers_ends_no_more_when_they_close_connections()
    {
        check(4, "close", {"POST", "/read/1", "crash"});
    }

    void a_request_that_ended_three_servers_ends_no_more_when_they_fall_silent()
    {
        check(4, "silent", {"POST", "/read/1", "crash"});
    }

    void a_request_that_ended_three_servers_ends_no_more_when_it_may_not_be_retried()
    {
        check(4, "reset", {"POST", "/order/1", "crash"});
    }

    void a_request_that_ended_three_servers_ends_no_more_when_it_has_no_body()
    {
        check(4, "reset", {"GET", "/read/crash", ""});
    }

    void a_request_that_ended_three_servers_ends_no_more_with_one_gateway()
    {
        check(1, "reset", {"POST", "/read/1", "crash"});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_request_tests);

} // namespace

} // namespace tanager::testing
