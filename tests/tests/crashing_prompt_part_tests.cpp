// A part of a prompt ends each backend server that begins to answer it, in requests that are otherwise all
// different. Guards against blaming whole requests only: every one of them then ends servers, and sound
// requests beside them fail.
#include "base/text.h"
#include "testing/section.h"
#include "tests/support/crashing_fleet.h"
#include "tests/support/gateway_group.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager::testing {

namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

// What the users' rules allow: how long after the fifth crash gateways may still send such requests, how many
// they may send later, and which share of the sound requests may fail after twice that time.
constexpr std::size_t crashes_to_learn_from = 5;
constexpr auto knowledge_delay = 3s;
constexpr std::size_t max_late_requests = 3;
constexpr double min_served_ratio = 0.5;
constexpr std::size_t min_sound_requests = 20;
// Sound requests are watched for this long after the second delay.
constexpr auto observation_time = 3s;
constexpr auto undisturbed_time = 1s;
constexpr auto max_observation_time = 15s;
constexpr int gateway_count = 4;
constexpr int server_count = 8;
constexpr auto culprit_interval = 60ms;
constexpr auto sound_interval = 15ms;
constexpr int subject_count = 12;

// The prompts of one play. Requests with a deadly part also share their first part, or all parts but one,
// with sound ones.
struct prompt_scenario {
    std::string path = "/stream/1?events=2&event_ms=5&work_ms=20";
    std::string crash_mode = "reset";
    std::vector<std::string> deadly_parts{"dead"};
    // Parts of a request with a deadly part; "#" stands for one of many.
    std::vector<std::string> culprit_prompts{"aa,#,dead", "aa,dead,#"};
};

struct sent_request {
    steady_clock::time_point sent_at;
    std::shared_ptr<async_response> response;

    bool is_served() const
    {
        return this->response->response && this->response->response->status == 200;
    }
};

class prompt_sender {
public:
    explicit prompt_sender(const prompt_scenario& scenario)
        : scenario(scenario),
          group(gateway_count, {"--servers", "0", "--timeout-ms", "3000"}),
          fleet(group, server_count, server_arguments(scenario)),
          gateways(group.wait_until_serving(server_count))
    {
    }

    void run()
    {
        auto& loop = this->group.caller.loop();
        const auto supervision = loop.run_every(20ms, [this] { this->fleet.supervise(); });
        auto sound = loop.run_every(sound_interval, [this] {
            this->sound_requests.push_back(this->send("aa,#", this->scenario.path));
        });
        this->begun_at = steady_clock::now();
        const auto culprits = loop.run_every(culprit_interval, [this] {
            if (steady_clock::now() - this->begun_at > undisturbed_time) {
                const auto& prompts = this->scenario.culprit_prompts;
                this->send(prompts[this->sent_count % prompts.size()], this->scenario.path);
            }
        });
        this->group.caller.run_until([this] {
            const auto now = steady_clock::now();
            return now - this->begun_at > max_observation_time ||
                   now - this->observed_from() > observation_time;
        });
        sound.reset();
        this->group.caller.run_until([this] {
            return std::ranges::all_of(this->sound_requests, [](const sent_request& sound) {
                return sound.response->is_finished();
            });
        });
    }

    std::size_t crash_count() const
    {
        return this->fleet.crashes.size();
    }

    std::size_t late_crashes() const
    {
        return this->fleet.crashes_later_than(crashes_to_learn_from, knowledge_delay);
    }

    // Sound requests in a span of time: how many were sent, and which share of them was served.
    std::pair<std::size_t, double> sound_between(steady_clock::time_point begin,
                                                 steady_clock::time_point end) const
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const auto& request : this->sound_requests) {
            if (request.sent_at >= begin && request.sent_at < end) {
                ++sent;
                served += request.is_served() ? 1 : 0;
            }
        }
        return {sent, sent == 0 ? 0 : static_cast<double>(served) / static_cast<double>(sent)};
    }

    std::pair<std::size_t, double> sound_before() const
    {
        return this->sound_between(this->begun_at, this->begun_at + undisturbed_time - 200ms);
    }

    std::pair<std::size_t, double> sound_beside_culprits() const
    {
        return this->sound_between(this->observed_from(), steady_clock::now());
    }

    std::string to_text() const
    {
        const auto before = this->sound_before();
        const auto beside = this->sound_beside_culprits();
        return std::to_string(this->crash_count()) + " servers ended, " +
               std::to_string(this->late_crashes()) + " of them late; sound requests served: before " +
               std::to_string(before.second) + " of " + std::to_string(before.first) + ", beside " +
               std::to_string(beside.second) + " of " + std::to_string(beside.first);
    }

private:
    static std::vector<std::string> server_arguments(const prompt_scenario& scenario)
    {
        std::vector<std::string> arguments{"--crash-mode", scenario.crash_mode};
        for (const auto& part : scenario.deadly_parts) {
            arguments.insert(arguments.end(), {"--crash-part", part});
        }
        return arguments;
    }

    // The moment after the fifth crash, or the last one if there are fewer, from which sound requests count.
    steady_clock::time_point observed_from() const
    {
        const auto& crashes = this->fleet.crashes;
        if (crashes.empty()) {
            return this->begun_at + undisturbed_time + 2 * knowledge_delay;
        }
        return crashes[std::min(crashes.size(), crashes_to_learn_from) - 1] + 2 * knowledge_delay;
    }

    sent_request send(std::string parts, const std::string& path)
    {
        const auto number = std::to_string(++this->sent_count);
        if (const auto mark = parts.find('#'); mark != std::string::npos) {
            parts.replace(mark, 1, "5" + std::to_string(this->sent_count % subject_count));
        }
        parts.append(",0").append(number);
        std::string list;
        for (const auto& part : split_list(parts)) {
            list += (list.empty() ? "" : ",") + part + ":50";
        }
        auto response = this->group.caller.start(this->gateways[this->sent_count % this->gateways.size()],
                                                 {"POST",
                                                  path,
                                                  {{"Host", "shop.example"},
                                                   {"Attempt-Id", "r" + number},
                                                   {"Deadline-Ms", "3000"},
                                                   {"Prompt-Prefix", list}},
                                                  "body " + number});
        return {steady_clock::now(), std::move(response)};
    }

    prompt_scenario scenario;
    gateway_group group;
    crashing_fleet fleet;
    std::vector<std::string> gateways;
    std::vector<sent_request> sound_requests;
    std::size_t sent_count = 0;
    steady_clock::time_point begun_at;
};

class crashing_prompt_part_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_prompt_part_tests);
    CPPUNIT_TEST(a_prompt_part_that_ended_five_servers_ends_no_more_when_they_reset_streams);
    CPPUNIT_TEST(a_prompt_part_that_ended_five_servers_ends_no_more_when_they_close_connections);
    CPPUNIT_TEST(a_prompt_part_that_ended_five_servers_ends_no_more_when_they_fall_silent);
    CPPUNIT_TEST(a_prompt_part_that_ended_five_servers_ends_no_more_when_it_may_not_be_retried);
    CPPUNIT_TEST(a_prompt_part_that_ended_five_servers_ends_no_more_when_it_is_the_first);
    CPPUNIT_TEST(a_prompt_part_that_ended_five_servers_ends_no_more_when_it_always_has_the_same_company);
    CPPUNIT_TEST(two_prompt_parts_that_end_servers_at_the_same_time_end_no_more);
    CPPUNIT_TEST_SUITE_END();

public:
    static void check(const prompt_scenario& scenario)
    {
        prompt_sender sender(scenario);
        sender.run();
        section("few requests with it reach servers once all gateways can know", [&] {
            CPPUNIT_ASSERT_MESSAGE(sender.to_text(), sender.late_crashes() <= max_late_requests);
        });
        section("it is found out",
                [&] { CPPUNIT_ASSERT_MESSAGE(sender.to_text(), sender.crash_count() >= 2); });
        section("sound requests with the same first part are served beside it", [&] {
            const auto [sent_before, served_before] = sender.sound_before();
            const auto [sent_beside, served_beside] = sender.sound_beside_culprits();
            CPPUNIT_ASSERT_MESSAGE(sender.to_text(), sent_before >= min_sound_requests);
            CPPUNIT_ASSERT_MESSAGE(sender.to_text(), sent_beside >= min_sound_requests);
            CPPUNIT_ASSERT_MESSAGE(sender.to_text(), served_beside >= min_served_ratio * served_before);
        });
    }

    void a_prompt_part_that_ended_five_servers_ends_no_more_when_they_reset_streams()
    {
        check({});
    }

    void a_prompt_part_that_ended_five_servers_ends_no_more_when_they_close_connections()
    {
        check({.crash_mode = "close"});
    }

    void a_prompt_part_that_ended_five_servers_ends_no_more_when_they_fall_silent()
    {
        check({.crash_mode = "silent"});
    }

    void a_prompt_part_that_ended_five_servers_ends_no_more_when_it_may_not_be_retried()
    {
        check({.path = "/order/1?work_ms=20"});
    }

    void a_prompt_part_that_ended_five_servers_ends_no_more_when_it_is_the_first()
    {
        check({.culprit_prompts = {"dead,aa,#"}});
    }

    void a_prompt_part_that_ended_five_servers_ends_no_more_when_it_always_has_the_same_company()
    {
        check({.culprit_prompts = {"aa,dead,51"}});
    }

    void two_prompt_parts_that_end_servers_at_the_same_time_end_no_more()
    {
        check({.deadly_parts = {"dead", "deaf"}, .culprit_prompts = {"aa,#,dead", "aa,deaf,#"}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_prompt_part_tests);

} // namespace

} // namespace tanager::testing
