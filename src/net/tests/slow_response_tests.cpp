// Tests how long a call waits for a response that comes in slowly.
#include "net/http_client.h"
#include "net/mocks/paced_server.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

using fetch_outcome = tl::expected<http_response, http_failure>;

std::string make_response(std::size_t body_bytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'x');
}

struct timed_outcome {
    fetch_outcome outcome;
    duration elapsed;
};

timed_outcome fetch_slowly(const std::string& response, const pace& rate, const http_call_options& options)
{
    const auto loop = std::move(*event_loop::create());
    const paced_server server(*loop, response, rate);
    const auto client = http_client::create(*loop);
    const auto started_at = std::chrono::steady_clock::now();
    std::optional<fetch_outcome> outcome;
    client->fetch(
        server.address, {"GET", "/", {}, {}}, options, [&](const auto& received) { outcome = received; });
    while (!outcome) {
        loop->run_once();
    }
    return {*outcome, std::chrono::steady_clock::now() - started_at};
}

class slow_response_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slow_response_tests);
    CPPUNIT_TEST(reports_how_much_has_arrived);
    CPPUNIT_TEST(reads_a_steady_response_to_its_end);
    CPPUNIT_TEST(ends_a_call_without_steady_progress);
    CPPUNIT_TEST(abandons_a_response_that_is_too_long);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log in which a slow link, a reset and a silent server look the same.
    void reports_how_much_has_arrived()
    {
        http_call_options options;
        options.timeout = 200ms;
        section("a response trickles in", [&] {
            const auto [outcome, elapsed] = fetch_slowly(make_response(1'000), {10, 40ms, {}}, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().cause.code == result_code::timed_out);
            const auto& failure = outcome.error();
            CPPUNIT_ASSERT(failure.received_bytes > 0 && failure.received_bytes < 1'000);
            section("the failure says after how many bytes the call has timed out", [&failure] {
                const auto expected = " after " + std::to_string(failure.received_bytes) + " bytes";
                CPPUNIT_ASSERT(failure.cause.detail.ends_with(expected));
            });
        });
        section("a silent server has sent none", [&] {
            const auto [outcome, elapsed] = fetch_slowly(make_response(1'000), {10, 40ms, 0}, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().cause.code == result_code::timed_out);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, outcome.error().received_bytes);
        });
    }

    // Guards against a link that carries an answer steadily, but never within the time of a call, so that
    // each call ends in the same way (review case 12).
    void reads_a_steady_response_to_its_end()
    {
        section("a response takes three times as long as the call may last", [] {
            const auto [outcome, elapsed] =
                fetch_slowly(make_response(steady_bytes), steady_pace, steady_options());
            CPPUNIT_ASSERT(elapsed > 3 * 2 * steady_options().timeout);
            CPPUNIT_ASSERT(outcome.has_value());
            CPPUNIT_ASSERT_EQUAL(steady_bytes, outcome->body.size());
        });
        section("without a rate that counts as steady, the call ends at twice its timeout", [] {
            auto options = steady_options();
            options.min_rate = 0;
            const auto [outcome, elapsed] = fetch_slowly(make_response(steady_bytes), steady_pace, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().cause.code == result_code::timed_out);
            CPPUNIT_ASSERT(elapsed < 4 * options.timeout);
        });
    }

    void ends_a_call_without_steady_progress()
    {
        const auto options = steady_options();
        section("a trickle is noticed as fast as by a call that waits for no steady response", [&] {
            const auto [outcome, elapsed] =
                fetch_slowly(make_response(steady_bytes), {10, 20ms, {}}, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().cause.code == result_code::timed_out);
            CPPUNIT_ASSERT(elapsed < 4 * options.timeout);
        });
        section("a silent server is, too", [&] {
            const auto [outcome, elapsed] = fetch_slowly(make_response(steady_bytes), {0, 20ms, 0}, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().cause.code == result_code::timed_out);
            CPPUNIT_ASSERT(elapsed < 2 * options.timeout);
        });
        section("a response that stops midway ends the call within its timeout", [&] {
            auto rate = steady_pace;
            rate.stop_after = steady_bytes / 2;
            const auto [outcome, elapsed] = fetch_slowly(make_response(steady_bytes), rate, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().cause.code == result_code::timed_out);
            CPPUNIT_ASSERT(elapsed < 8 * options.timeout);
        });
    }

    // Guards against a call that reads for seconds what it cannot keep.
    void abandons_a_response_that_is_too_long()
    {
        auto options = steady_options();
        options.max_collected_bytes = steady_bytes / 2;
        section("its length is stated: the call ends with the head", [&] {
            const auto [outcome, elapsed] = fetch_slowly(make_response(steady_bytes), steady_pace, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().cause.code == result_code::reply_malformed);
            CPPUNIT_ASSERT(outcome.error().is_too_long);
            CPPUNIT_ASSERT(elapsed < options.timeout);
        });
        section("it is sent in chunks: the call ends at the limit", [&] {
            const auto chunk = "3e8\r\n" + std::string(1'000, 'x') + "\r\n";
            std::string response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            for (std::size_t sent = 0; sent < steady_bytes; sent += 1'000) {
                response += chunk;
            }
            const auto [outcome, elapsed] = fetch_slowly(response, steady_pace, options);
            CPPUNIT_ASSERT(!outcome && outcome.error().is_too_long);
            CPPUNIT_ASSERT(outcome.error().received_bytes <= options.max_collected_bytes);
        });
        section("a response of just the limit is read", [&] {
            options.max_collected_bytes = steady_bytes;
            const auto [outcome, elapsed] = fetch_slowly(make_response(steady_bytes), steady_pace, options);
            CPPUNIT_ASSERT(outcome.has_value());
        });
    }

private:
    static constexpr std::size_t steady_bytes = 80'000;
    static constexpr pace steady_pace{1'000, 20ms, {}}; // 50,000 bytes per second

    static http_call_options steady_options()
    {
        http_call_options options;
        options.timeout = 250ms;
        options.min_rate = 20'000;
        return options;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_response_tests);

} // namespace

} // namespace tanager
