// Guards against event times that single slow events or spans of noise change, and against engines whose
// change of speed goes unnoticed.
#include "base/mocks/manual_clock.h"
#include "fleet/server_speed_model.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

using milliseconds = std::chrono::duration<double, std::milli>;

backend_server make_engine(const std::string& id)
{
    backend_server engine;
    engine.id = id;
    engine.service = "pool";
    engine.role = engine_role::decode;
    engine.incarnation = 1;
    return engine;
}

// Sends events of one stream for a time.
void stream(server_speed_model& speeds,
            manual_clock& time,
            const backend_server& engine,
            std::chrono::milliseconds event_time,
            std::chrono::milliseconds length,
            std::uint32_t running = 1)
{
    for (auto left = length; left > 0ms; left -= event_time) {
        time.advance(event_time);
        speeds.record(engine, {1, event_time, running});
    }
}

void assert_milliseconds(double expected, double measured)
{
    CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, measured, expected / 10);
}

class server_speed_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_speed_tests);
    CPPUNIT_TEST(learns_the_event_time_of_an_engine);
    CPPUNIT_TEST(compares_event_times_at_equal_load);
    CPPUNIT_TEST(rates_engines_with_their_noise);
    CPPUNIT_TEST(takes_reports_of_peers);
    CPPUNIT_TEST_SUITE_END();

public:
    void learns_the_event_time_of_an_engine()
    {
        section("an engine is unknown at first", [] {
            manual_clock time;
            server_speed_model speeds(time);
            const auto engine = make_engine("a");
            CPPUNIT_ASSERT_EQUAL(0.0, speeds.event_milliseconds(engine, 1));
            section("its event time is known after two seconds", [&] {
                stream(speeds, time, engine, 30ms, 2s);
                assert_milliseconds(30, speeds.event_milliseconds(engine, 1));
            });
            section("neither a single slow event nor a span of noise changes it", [&] {
                stream(speeds, time, engine, 400ms, 400ms);
                assert_milliseconds(30, speeds.event_milliseconds(engine, 1));
                stream(speeds, time, engine, 30ms, 1s);
                stream(speeds, time, engine, 75ms, 600ms);
                assert_milliseconds(30, speeds.event_milliseconds(engine, 1));
                stream(speeds, time, engine, 30ms, 1s);
            });
            section("it is found slow within one and a half seconds, and fast again as soon", [&] {
                stream(speeds, time, engine, 105ms, 1'500ms);
                assert_milliseconds(105, speeds.event_milliseconds(engine, 1));
                stream(speeds, time, engine, 30ms, 1'500ms);
                assert_milliseconds(30, speeds.event_milliseconds(engine, 1));
                stream(speeds, time, engine, 225ms, 1'500ms);
                assert_milliseconds(225, speeds.event_milliseconds(engine, 1));
            });
            section("it is unknown after a restart, in another role, and after ten seconds without events",
                    [&] {
                        auto changed = engine;
                        changed.incarnation = 2;
                        CPPUNIT_ASSERT_EQUAL(0.0, speeds.event_milliseconds(changed, 1));
                        changed = engine;
                        changed.role = engine_role::prefill;
                        CPPUNIT_ASSERT_EQUAL(0.0, speeds.event_milliseconds(changed, 1));
                        time.advance(10s);
                        CPPUNIT_ASSERT_EQUAL(0.0, speeds.event_milliseconds(engine, 1));
                    });
            section("events of its new life do not mix with those before", [&] {
                stream(speeds, time, engine, 30ms, 2s);
                auto restarted = engine;
                restarted.incarnation = 2;
                stream(speeds, time, restarted, 60ms, 1s);
                assert_milliseconds(60, speeds.event_milliseconds(restarted, 1));
            });
        });
    }

    void compares_event_times_at_equal_load()
    {
        section("events take 20 ms and 2 ms more for each running request, on two equal engines", [] {
            manual_clock time;
            server_speed_model speeds(time);
            speeds.record_gap_objective("pool", 60ms);
            const auto busy = std::make_shared<backend_server>(make_engine("busy"));
            const auto idle = std::make_shared<backend_server>(make_engine("idle"));
            for (int round = 0; round < 20; ++round) {
                stream(speeds, time, *busy, 60ms, 240ms, 20);
                stream(speeds, time, *idle, 24ms, 240ms, 2);
            }
            section("their event times at equal load are equal", [&] {
                assert_milliseconds(40, speeds.event_milliseconds(*busy, 10));
                assert_milliseconds(40, speeds.event_milliseconds(*idle, 10));
            });
            section("both are suitable for long outputs", [&] {
                for (const auto rated : speeds.rate({{busy, 20}, {idle, 2}})) {
                    CPPUNIT_ASSERT(rated == decode_speed::suitable);
                }
            });
        });
    }

    void rates_engines_with_their_noise()
    {
        section(
            "two engines take 30 and 65 ms for an event, and 2.5 times as long in a seventh of the time", [] {
                manual_clock time;
                server_speed_model speeds(time);
                const auto fast = std::make_shared<backend_server>(make_engine("fast"));
                const auto slow = std::make_shared<backend_server>(make_engine("slow"));
                const auto fresh = std::make_shared<backend_server>(make_engine("fresh"));
                const auto rate = [&] {
                    return speeds.rate({{fast, 1}, {slow, 1}, {fresh, 0}});
                };
                for (int round = 0; round < 6; ++round) {
                    stream(speeds, time, *fast, 30ms, 1'700ms);
                    stream(speeds, time, *fast, 75ms, 300ms);
                    stream(speeds, time, *slow, 65ms, 1'700ms);
                    stream(speeds, time, *slow, 162ms, 300ms);
                }
                section("all are suitable while no route has a gap objective", [&] {
                    const std::vector<decode_speed> suitable(3, decode_speed::suitable);
                    CPPUNIT_ASSERT(rate() == suitable);
                });
                section("the slow one is too slow for 150 ms, although its usual events are in time", [&] {
                    speeds.record_gap_objective("pool", 150ms);
                    const std::vector<decode_speed> expected{
                        decode_speed::suitable, decode_speed::too_slow, decode_speed::unknown};
                    CPPUNIT_ASSERT(rate() == expected);
                });
                section("the fastest one is suitable even if it cannot keep an objective of 50 ms", [&] {
                    server_speed_model strict(time);
                    strict.record_gap_objective("pool", 50ms);
                    for (int round = 0; round < 6; ++round) {
                        stream(strict, time, *fast, 60ms, 600ms);
                        stream(strict, time, *slow, 130ms, 600ms);
                    }
                    const auto rated = strict.rate({{fast, 1}, {slow, 1}});
                    CPPUNIT_ASSERT(rated[0] == decode_speed::suitable);
                    CPPUNIT_ASSERT(rated[1] == decode_speed::too_slow);
                });
                section("an engine that is in time but much slower than the fastest is rated so", [&] {
                    const auto between = std::make_shared<backend_server>(make_engine("between"));
                    stream(speeds, time, *fast, 30ms, 1'700ms);
                    stream(speeds, time, *between, 46ms, 1'700ms);
                    const auto rated = speeds.rate({{fast, 1}, {between, 1}});
                    CPPUNIT_ASSERT(rated[0] == decode_speed::suitable);
                    CPPUNIT_ASSERT(rated[1] == decode_speed::slower);
                });
                section("all are forgotten when they are no longer listed", [&] {
                    speeds.keep_only({});
                    const std::vector<decode_speed> suitable(3, decode_speed::suitable);
                    CPPUNIT_ASSERT(rate() == suitable);
                });
            });
    }

    void takes_reports_of_peers()
    {
        section("a gateway reports the event times of three engines", [] {
            manual_clock time;
            server_speed_model sender(time);
            server_speed_model receiver(time);
            stream(sender, time, make_engine("a"), 30ms, 300ms);
            stream(sender, time, make_engine("b"), 10ms, 300ms);
            stream(sender, time, make_engine("c"), 60ms, 300ms);
            const auto reported = sender.take_unreported(2);
            section("the report is bounded, and has those with the most events", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reported.size());
                CPPUNIT_ASSERT_EQUAL(std::string{"b"}, reported[0].first);
                CPPUNIT_ASSERT_EQUAL(std::string{"a"}, reported[1].first);
                CPPUNIT_ASSERT(sender.take_unreported(2).empty());
            });
            section("a receiver knows the engine from several reports", [&] {
                for (int count = 0; count < 4; ++count) {
                    receiver.record_reported(make_engine("a"), reported[1].second, 250ms);
                    time.advance(500ms);
                }
                assert_milliseconds(30, receiver.event_milliseconds(make_engine("a"), 1));
            });
            section("it does not report what it was told, and takes no old or empty reports", [&] {
                CPPUNIT_ASSERT(receiver.take_unreported(2).empty());
                for (int count = 0; count < 4; ++count) {
                    receiver.record_reported(make_engine("d"), {10, 300ms, 1}, 9s);
                    receiver.record_reported(make_engine("d"), {0, 300ms, 1}, 0s);
                    receiver.record_reported(make_engine("d"), {10, 0ms, 1}, 0s);
                    time.advance(500ms);
                }
                CPPUNIT_ASSERT_EQUAL(0.0, receiver.event_milliseconds(make_engine("d"), 1));
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_speed_tests);

} // namespace

} // namespace tanager
