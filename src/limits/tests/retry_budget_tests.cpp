// Replays fleets of gateways whose servers refuse most attempts, and checks that all gateways together repeat
// no more than the fleet may, in every window.
#include "limits/fleet_retry_share.h"
#include "limits/retry_budget.h"
#include "testing/section.h"

#include <algorithm>
#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr double retries_per_request = 0.2;
constexpr auto window = std::chrono::milliseconds{10'000};
constexpr auto step = std::chrono::milliseconds{10};
constexpr auto replay_time = std::chrono::milliseconds{90'000};
// From the time at which a caller sends a request until the gateway has read it.
constexpr auto max_delivery_time = std::chrono::milliseconds{60};
constexpr auto max_retry_delay = std::chrono::milliseconds{400};
// A gateway that has started takes requests, lists the others and is heard after this.
constexpr auto start_time = std::chrono::milliseconds{300};
constexpr auto share_interval = std::chrono::milliseconds{100};
constexpr std::uint32_t max_attempts = 6;
constexpr const char* service = "desk";

struct fleet_case {
    std::size_t gateways = 4;
    double slack = 54;
    double requests_per_second = 100; // in a burst
    std::chrono::milliseconds kill_interval{0};
    double first_gateway_ratio = 0; // of requests that go to the first gateway, besides its even share
    double refused_ratio = 0.65;
    bool has_bursts = true;
    bool is_cut_off = false; // for a third of the time, from the store and from each other
};

struct replay_result {
    double max_used_ratio = 0; // of repeated arrivals to those that the bound allows
    std::size_t requests = 0;
    std::size_t repeated_arrivals = 0;
};

// The requests and repeated arrivals of the whole fleet in steps of time.
class bound_monitor {
public:
    void record(std::uint32_t requests, std::uint32_t repeated_arrivals)
    {
        this->requests.push_back(this->requests.back() + requests);
        this->repeated.push_back(this->repeated.back() + repeated_arrivals);
    }

    // Returns the repeated arrivals of the window that ends now as a ratio of the bound. Requests count in
    // that window, in the one before or in the one half a window before, whichever has most.
    double used_ratio(double slack) const
    {
        const auto steps = static_cast<std::size_t>(window / step);
        const auto most_requests = std::max({sum_before(this->requests, 0),
                                             sum_before(this->requests, steps / 2),
                                             sum_before(this->requests, steps)});
        return static_cast<double>(sum_before(this->repeated, 0)) /
               (retries_per_request * static_cast<double>(most_requests) + slack);
    }

private:
    // Returns the sum over the window that ended `steps_ago`.
    static std::uint64_t sum_before(const std::vector<std::uint64_t>& sums, std::size_t steps_ago)
    {
        const auto steps = static_cast<std::size_t>(window / step);
        const auto at = [&sums](std::size_t ago) {
            return ago < sums.size() ? sums[sums.size() - 1 - ago] : 0;
        };
        return at(steps_ago) - at(steps_ago + steps);
    }

    std::vector<std::uint64_t> requests{0};
    std::vector<std::uint64_t> repeated{0};
};

// One gateway as far as retries are concerned.
struct replayed_gateway {
    std::chrono::milliseconds started_at{0};
    retry_budget retries;
    gateway_count_tracker count;
};

class replayed_fleet {
public:
    replayed_fleet(const fleet_case& fleet, std::uint64_t seed)
        : fleet(fleet), random(seed), gateways(fleet.gateways, this->start_gateway(0ms))
    {
    }

    replay_result run()
    {
        replay_result result;
        for (auto now = 0ms; now < replay_time; now += step) {
            this->kill_next(now);
            this->update_shares(now);
            this->requests_sent = 0;
            this->repeated_arrivals = 0;
            this->send_requests(now);
            this->handle_attempts(now);
            this->monitor.record(this->requests_sent, this->repeated_arrivals);
            result.requests += this->requests_sent;
            result.repeated_arrivals += this->repeated_arrivals;
            result.max_used_ratio =
                std::max(result.max_used_ratio, this->monitor.used_ratio(this->fleet.slack));
        }
        return result;
    }

private:
    struct attempt {
        std::chrono::milliseconds due_at{0};
        std::size_t gateway = 0;
        std::uint32_t number = 0; // 0 for the request itself
    };

    double draw()
    {
        return std::uniform_real_distribution<double>{0, 1}(this->random);
    }

    fleet_retry_bound bound() const
    {
        return {retries_per_request, this->fleet.slack, window};
    }

    replayed_gateway start_gateway(std::chrono::milliseconds now) const
    {
        return {now, retry_budget{share_of_fleet(this->bound(), std::nullopt)}, {}};
    }

    // While all are cut off, they hear nobody, and those that start then have no list.
    bool is_cut_off(std::chrono::milliseconds now) const
    {
        return this->fleet.is_cut_off && now >= replay_time / 3 && now < 2 * replay_time / 3;
    }

    void update_shares(std::chrono::milliseconds now)
    {
        if (now % share_interval != 0ms) {
            return;
        }
        const auto has_started = [&](const replayed_gateway& gateway) {
            return now - gateway.started_at >= start_time;
        };
        const auto heard = std::ranges::count_if(this->gateways, has_started);
        for (auto& gateway : this->gateways) {
            const bool is_listed = has_started(gateway);
            const bool is_cut_off = this->is_cut_off(now);
            const auto time = time_point{} + now;
            if (is_listed && (!is_cut_off || gateway.count.count(time))) {
                const auto live = is_cut_off ? 0 : static_cast<std::size_t>(heard) - 1;
                gateway.count.record(time, live, this->gateways.size() - 1);
            }
            gateway.retries.add_time(share_interval);
            gateway.retries.set_allowance(share_of_fleet(this->bound(), gateway.count.count(time)));
        }
    }

    void kill_next(std::chrono::milliseconds now)
    {
        if (this->fleet.kill_interval.count() == 0 || now < this->next_kill_at) {
            return;
        }
        this->gateways[this->next_killed] = this->start_gateway(now);
        this->next_killed = (this->next_killed + 1) % this->gateways.size();
        this->next_kill_at = now + this->fleet.kill_interval;
    }

    void send_requests(std::chrono::milliseconds now)
    {
        if (now >= this->phase_ends_at) {
            this->is_sending = !this->is_sending || !this->fleet.has_bursts;
            this->phase_ends_at =
                now + std::chrono::milliseconds{static_cast<int>(500 + this->draw() * 7'500)};
        }
        if (!this->is_sending) {
            return;
        }
        const double per_step = this->fleet.requests_per_second * std::chrono::duration<double>(step).count();
        this->requests_sent = std::poisson_distribution<std::uint32_t>{per_step}(this->random);
        for (std::uint32_t count = 0; count < this->requests_sent; ++count) {
            const auto even =
                static_cast<std::size_t>(this->draw() * static_cast<double>(this->gateways.size()));
            const auto gateway = this->draw() < this->fleet.first_gateway_ratio ? 0 : even;
            this->attempts.push_back({now + this->delay(max_delivery_time), gateway, 0});
        }
    }

    std::chrono::milliseconds delay(std::chrono::milliseconds max)
    {
        return std::chrono::milliseconds{static_cast<int>(this->draw() * static_cast<double>(max.count()))};
    }

    void handle_attempts(std::chrono::milliseconds now)
    {
        const auto count = this->attempts.size();
        for (std::size_t index = 0; index < count; ++index) {
            const auto next = this->attempts.front();
            this->attempts.pop_front();
            if (next.due_at > now) {
                this->attempts.push_back(next);
                continue;
            }
            this->handle(next, now);
        }
    }

    void handle(const attempt& next, std::chrono::milliseconds now)
    {
        auto& retries = this->gateways[next.gateway].retries;
        if (next.number == 0) {
            retries.record_request(service);
        }
        this->repeated_arrivals += next.number == 0 ? 0 : 1;
        const bool is_refused = this->draw() < this->fleet.refused_ratio;
        if (is_refused && next.number + 1 < max_attempts && retries.try_spend(service)) {
            this->attempts.push_back({now + this->delay(max_retry_delay), next.gateway, next.number + 1});
        }
    }

    fleet_case fleet;
    std::mt19937_64 random;
    std::vector<replayed_gateway> gateways;
    std::deque<attempt> attempts;
    bound_monitor monitor;
    std::uint32_t requests_sent = 0;
    std::uint32_t repeated_arrivals = 0;
    std::chrono::milliseconds next_kill_at{0};
    std::chrono::milliseconds phase_ends_at{0};
    std::size_t next_killed = 0;
    bool is_sending = false;
};

// The fleets of the installations, each at rest, with bursts, with uneven callers and with kills in series.
std::vector<fleet_case> fleets()
{
    struct installation {
        std::size_t gateways;
        double slack;
        double requests_per_second;
    };
    std::vector<fleet_case> all;
    for (const auto& site : {installation{4, 54, 100},
                             installation{6, 54, 150},
                             installation{10, 54, 150},
                             installation{30, 54, 150},
                             installation{29, 98, 250},
                             installation{103, 246, 600}}) {
        for (const auto kill_interval : {0ms, 50ms, 250ms, 1'000ms}) {
            for (const double first_gateway_ratio : {0.0, 0.9}) {
                for (const bool has_bursts : {true, false}) {
                    fleet_case fleet{site.gateways, site.slack, site.requests_per_second};
                    fleet.kill_interval = kill_interval;
                    fleet.first_gateway_ratio = first_gateway_ratio;
                    fleet.has_bursts = has_bursts;
                    all.push_back(fleet);
                    fleet.is_cut_off = true;
                    all.push_back(fleet);
                }
            }
        }
    }
    return all;
}

std::string describe(const fleet_case& fleet, const replay_result& result)
{
    return std::to_string(fleet.gateways) + " gateways, one killed each " +
           std::to_string(fleet.kill_interval.count()) + " ms" +
           (fleet.first_gateway_ratio > 0 ? ", uneven callers" : "") + (fleet.has_bursts ? ", bursts" : "") +
           (fleet.is_cut_off ? ", cut off" : "") + ": " + std::to_string(result.max_used_ratio) +
           " of the bound, " + std::to_string(result.repeated_arrivals) + " repeats of " +
           std::to_string(result.requests) + " requests";
}

class retry_budget_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_budget_tests);
    CPPUNIT_TEST(a_fleet_repeats_no_more_than_its_bound);
    CPPUNIT_TEST(a_steady_fleet_uses_what_its_requests_earn);
    CPPUNIT_TEST(shares_of_all_gateways_stay_within_the_slack);
    CPPUNIT_TEST(a_gateway_with_few_requests_gets_retries);
    CPPUNIT_TEST(a_new_process_has_no_retry);
    CPPUNIT_TEST(gateways_that_are_not_heard_are_counted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a budget that each new process has afresh: gateways that are killed in series, or many
    // of them, then repeat more than the fleet may (issue 43).
    void a_fleet_repeats_no_more_than_its_bound()
    {
        constexpr std::uint64_t seeds = 3;
        std::string breaches;
        for (const auto& fleet : fleets()) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto result = replayed_fleet{fleet, seed}.run();
                if (result.max_used_ratio > 1) {
                    breaches += "\n" + describe(fleet, result) + ", seed " + std::to_string(seed);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE("fleets over their bound" + breaches, std::string{}, breaches);
    }

    // Guards against a bound that is kept by giving callers next to no retries.
    void a_steady_fleet_uses_what_its_requests_earn()
    {
        constexpr double min_used_ratio = 0.85;
        for (const auto& fleet : fleets()) {
            if (fleet.kill_interval > 0ms || fleet.has_bursts) {
                continue;
            }
            const auto result = replayed_fleet{fleet, 1}.run();
            CPPUNIT_ASSERT_MESSAGE(describe(fleet, result),
                                   static_cast<double>(result.repeated_arrivals) >=
                                       min_used_ratio * retries_per_request *
                                           static_cast<double>(result.requests));
        }
    }

    void shares_of_all_gateways_stay_within_the_slack()
    {
        const double window_seconds = std::chrono::duration<double>(window).count();
        const auto used_slack = [&](const retry_allowance& share, std::size_t gateways) {
            return static_cast<double>(gateways) *
                   (share.max_balance + window_seconds * share.retries_per_second);
        };
        for (const double slack : {54.0, 98.0, 246.0}) {
            for (std::size_t gateways = 1; gateways <= 300; ++gateways) {
                const auto share = share_of_fleet({retries_per_request, slack, window}, gateways);
                section(std::to_string(gateways) + " gateways, slack " + std::to_string(slack), [&] {
                    CPPUNIT_ASSERT(used_slack(share, gateways) <= slack);
                    section("each holds a whole retry if the slack has one for it, and otherwise none", [&] {
                        const bool has_retry = slack >= static_cast<double>(gateways);
                        CPPUNIT_ASSERT_EQUAL(has_retry, share.max_balance >= 1);
                        CPPUNIT_ASSERT_EQUAL(has_retry, share.max_balance > 0);
                    });
                });
            }
        }
        section("a fleet of an installation leaves a fifth of its slack", [&] {
            for (const auto& [gateways, slack] :
                 {std::pair{std::size_t{4}, 54.0}, {std::size_t{29}, 98.0}, {std::size_t{103}, 246.0}}) {
                const auto share = share_of_fleet({retries_per_request, slack, window}, gateways);
                CPPUNIT_ASSERT(used_slack(share, gateways) <= 0.8 * slack + 1e-9);
                CPPUNIT_ASSERT(share.retries_per_second > 0);
            }
        });
        section("a gateway that knows no other ones gets nothing but by requests, and holds one retry", [] {
            const auto share = share_of_fleet({retries_per_request, 54, window}, std::nullopt);
            CPPUNIT_ASSERT_EQUAL(1.0, share.max_balance);
            CPPUNIT_ASSERT_EQUAL(0.0, share.retries_per_second);
        });
        section("a site without slack allows no retries", [] {
            for (const auto count : {std::optional<std::size_t>{}, std::optional<std::size_t>{4}}) {
                CPPUNIT_ASSERT_EQUAL(0.0,
                                     share_of_fleet({retries_per_request, 0, window}, count).max_balance);
            }
        });
    }

    // Guards against callers of a gateway with few requests that never get a retry, since their requests earn
    // one in many minutes.
    void a_gateway_with_few_requests_gets_retries()
    {
        for (const auto& [gateways, slack] :
             {std::pair{std::size_t{4}, 54.0}, {std::size_t{29}, 98.0}, {std::size_t{103}, 246.0}}) {
            section(std::to_string(gateways) + " gateways", [&, gateways = gateways, slack = slack] {
                retry_budget budget{share_of_fleet({retries_per_request, slack, window}, gateways)};
                section("one has a retry for its first request, two windows after its start", [&] {
                    budget.add_time(2 * window);
                    budget.record_request(service);
                    CPPUNIT_ASSERT(budget.try_spend(service));
                });
                section("one with a request in each window has a retry for each", [&] {
                    for (int request = 0; request < 50; ++request) {
                        budget.add_time(window);
                        budget.record_request(service);
                        CPPUNIT_ASSERT(budget.try_spend(service));
                    }
                });
                section("requests of another service do not use it up", [&] {
                    budget.add_time(2 * window);
                    while (budget.try_spend("other")) {
                    }
                    CPPUNIT_ASSERT(budget.has_retry(service));
                    CPPUNIT_ASSERT(!budget.has_retry("other"));
                });
            });
        }
    }

    void a_new_process_has_no_retry()
    {
        retry_budget budget{share_of_fleet({retries_per_request, 54, window}, std::nullopt)};
        CPPUNIT_ASSERT(!budget.try_spend(service));
        section("time gives it none while the number of gateways is unknown", [&] {
            budget.add_time(10 * window);
            CPPUNIT_ASSERT(!budget.try_spend(service));
        });
        section("five requests earn one, and fifty earn no more while that is not spent", [&] {
            for (int request = 0; request < 50; ++request) {
                budget.record_request(service);
            }
            CPPUNIT_ASSERT(budget.try_spend(service));
            CPPUNIT_ASSERT(!budget.try_spend(service));
        });
        section("its balance grows once the gateways are counted, and shrinks when there are more", [&] {
            budget.set_allowance(share_of_fleet({retries_per_request, 54, window}, 4));
            budget.add_time(2 * window);
            CPPUNIT_ASSERT(budget.balance(service) > 5);
            budget.set_allowance(share_of_fleet({retries_per_request, 54, window}, 30));
            CPPUNIT_ASSERT_EQUAL(1.0, budget.balance(service));
            CPPUNIT_ASSERT_EQUAL(1.0, budget.balance("not seen before"));
            CPPUNIT_ASSERT_EQUAL(1.0, budget.min_balance());
            CPPUNIT_ASSERT(budget.try_spend(service));
            CPPUNIT_ASSERT_EQUAL(0.0, budget.min_balance());
        });
    }

    // Guards against gateways that take larger shares because others are being restarted or cannot be
    // reached.
    void gateways_that_are_not_heard_are_counted()
    {
        gateway_count_tracker tracker;
        auto now = time_point{} + 1h;
        section("the number is unknown without the list, and in the first two seconds with it", [&] {
            tracker.record(now, 2, std::nullopt);
            CPPUNIT_ASSERT(!tracker.count(now + 1h));
            tracker.record(now, 0, 1);
            CPPUNIT_ASSERT(!tracker.count(now + 1s));
        });
        now += 2s;
        section("the list counts before its gateways are heard", [&] {
            tracker.record(now, 0, 5);
            CPPUNIT_ASSERT_EQUAL(std::size_t{6}, *tracker.count(now));
        });
        section("gateways that are not listed yet count when they are heard", [&] {
            tracker.record(now, 7, 5);
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, *tracker.count(now));
        });
        section("all of them count for minutes while nobody is heard", [&] {
            for (const auto until = now + 4min; now < until; now += 1s) {
                tracker.record(now, 0, std::nullopt);
                CPPUNIT_ASSERT_EQUAL(std::size_t{8}, *tracker.count(now));
            }
            CPPUNIT_ASSERT(tracker.age(now) >= 4min);
        });
        section("those that have ended for good no longer count after minutes, although they are listed",
                [&] {
                    for (const auto until = now + 12min; now < until; now += 1s) {
                        tracker.record(now, 3, 7);
                    }
                    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, *tracker.count(now));
                    CPPUNIT_ASSERT(tracker.age(now) <= 1s);
                });
        section("a new gateway counts at once", [&] {
            tracker.record(now, 4, 8);
            CPPUNIT_ASSERT_EQUAL(std::size_t{5}, *tracker.count(now));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_tests);

} // namespace

} // namespace tanager
