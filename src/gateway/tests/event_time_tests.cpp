// Tests which times between the events of a stream count as those of its server.
#include "gateway/mocks/forwarding_fixture.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

const http_headers valid_response_headers{{"id", "r1"}, {"signed", "1"}};
constexpr std::size_t much_unsent = std::size_t{1} << 20U;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: a\n\n";
}

class stream_fixture : public forwarding_fixture {
public:
    stream_fixture()
    {
        this->active_route.kind = route_kind::streaming;
        this->active_route.is_resumable = true;
        this->exchange = this->send();
        this->call(0).handler->on_head(200, valid_response_headers);
        this->call(0).handler->on_data(event(1));
    }

    void check_measured(std::uint32_t events, std::chrono::milliseconds total)
    {
        this->time.advance(1s);
        std::uint32_t measured_events = 0;
        std::chrono::milliseconds measured{0};
        for (const auto& times : this->pool.take_event_times(0)) {
            measured_events += times.events;
            measured += times.total;
        }
        CPPUNIT_ASSERT_EQUAL(events, measured_events);
        CPPUNIT_ASSERT_EQUAL(total.count(), measured.count());
    }

    std::shared_ptr<fake_exchange> exchange;
};

class event_time_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_time_tests);
    CPPUNIT_TEST(measures_what_the_server_takes);
    CPPUNIT_TEST_SUITE_END();

public:
    void measures_what_the_server_takes()
    {
        section("the time between two events counts", [] {
            stream_fixture gateway;
            gateway.time.advance(20ms);
            gateway.call(0).handler->on_data(event(2));
            gateway.check_measured(1, 20ms);
        });
        section("the time until a stream goes on at another server does not count", [] {
            stream_fixture gateway;
            gateway.time.advance(2s);
            gateway.call(0).fail(call_progress::maybe_sent);
            gateway.call(1).handler->on_head(200, valid_response_headers);
            gateway.time.advance(100ms);
            gateway.call(1).handler->on_data(event(2));
            gateway.time.advance(20ms);
            gateway.call(1).handler->on_data(event(3));
            gateway.check_measured(1, 20ms);
        });
        section("the time for which a slow caller takes nothing does not count", [] {
            stream_fixture gateway;
            gateway.exchange->unsent = much_unsent;
            gateway.time.advance(20ms);
            gateway.call(0).handler->on_data(event(2));
            gateway.time.advance(2s);
            gateway.exchange->unsent = 0;
            gateway.call(0).handler->on_data(event(3));
            gateway.time.advance(20ms);
            gateway.call(0).handler->on_data(event(4));
            gateway.check_measured(2, 40ms);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_time_tests);

} // namespace

} // namespace tanager
