// Replays fleets of gateways whose servers refuse most attempts, and checks that all gateways together repeat
// no more than the fleet may, in every window.
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
    retry_budget retries{retries_per_request, 3.0};
};

class replayed_fleet {
public:
    replayed_fleet(const fleet_case& fleet, std::uint64_t seed)
        : fleet(fleet), random(seed), gateways(fleet.gateways)
    {
    }

    replay_result run()
    {
        replay_result result;
        for (auto now = 0ms; now < replay_time; now += step) {
            this->kill_next(now);
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

    void kill_next(std::chrono::milliseconds now)
    {
        if (this->fleet.kill_interval.count() == 0 || now < this->next_kill_at) {
            return;
        }
        this->gateways[this->next_killed] = replayed_gateway{};
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
                    all.push_back({site.gateways,
                                   site.slack,
                                   site.requests_per_second,
                                   kill_interval,
                                   first_gateway_ratio,
                                   0.65,
                                   has_bursts});
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
           ": " + std::to_string(result.max_used_ratio) + " of the bound, " +
           std::to_string(result.repeated_arrivals) + " repeats of " + std::to_string(result.requests) +
           " requests";
}

class retry_budget_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_budget_tests);
    CPPUNIT_TEST(a_fleet_repeats_no_more_than_its_bound);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_tests);

} // namespace

} // namespace tanager
