#include "net/datagram_socket.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <stdexcept>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

[[noreturn]] void fail_unexpectedly()
{
    throw std::runtime_error("unexpected");
}

// Throws from one of its callbacks, and counts how often a call ended.
class failing_handler final : public http_response_handler {
public:
    explicit failing_handler(std::string failing_callback) : failing_callback(std::move(failing_callback)) {}

    void on_head(int /*status*/, const http_headers& /*headers*/) override
    {
        this->fail_in("head");
    }

    void on_data(std::string_view /*data*/) override
    {
        this->fail_in("data");
    }

    void on_end() override
    {
        ++this->ended;
        this->fail_in("end");
    }

    void on_failure(const http_failure& /*failure*/) override
    {
        ++this->ended;
        this->fail_in("failure");
    }

    int ended = 0;

private:
    void fail_in(const std::string& callback) const
    {
        if (callback == this->failing_callback) {
            fail_unexpectedly();
        }
    }

    std::string failing_callback;
};

// Guards against an exception that leaves a callback of the event loop: it ends the process with all its
// requests, and again after each restart if it follows from something that stays.
class callback_failure_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(callback_failure_tests);
    CPPUNIT_TEST(the_loop_goes_on_after_a_failed_task);
    CPPUNIT_TEST(a_failed_request_costs_its_connection_only);
    CPPUNIT_TEST(a_call_ends_although_its_handler_fails);
    CPPUNIT_TEST_SUITE_END();

public:
    void the_loop_goes_on_after_a_failed_task()
    {
        const auto loop = std::move(*event_loop::create());
        int tasks_run = 0;
        const auto run_until = [&](int count) {
            while (tasks_run < count) {
                loop->run_once();
            }
        };
        section("a posted task fails: those behind it run", [&] {
            loop->post(&fail_unexpectedly);
            loop->post([&] { ++tasks_run; });
            run_until(1);
        });
        section("a timer fails each time: it and others keep running", [&] {
            const auto timer = loop->run_every(1ms, [&] {
                ++tasks_run;
                fail_unexpectedly();
            });
            run_until(4);
        });
        section("the receiver of a datagram fails: the next datagram is received", [&] {
            const auto socket =
                std::move(*datagram_socket::create(*loop, "127.0.0.1:0", [&](auto /*datagram*/) {
                    ++tasks_run;
                    fail_unexpectedly();
                }));
            const auto address = *parse_address(socket->address());
            socket->send(address, "first");
            socket->send(address, "second");
            run_until(6);
        });
    }

    void a_failed_request_costs_its_connection_only()
    {
        const auto loop = std::move(*event_loop::create());
        const auto server =
            std::move(*http_server::create(*loop, "127.0.0.1:0", {}, [](const auto& exchange) {
                if (exchange->request().path == "/fails") {
                    fail_unexpectedly();
                }
                exchange->send_response({200, {}, "ok"});
            }));
        const auto client = http_client::create(*loop);
        const auto fetch = [&](const std::string& path) {
            std::optional<int> status;
            client->fetch(*parse_address(server->address()),
                          {"GET", path, {}, {}},
                          {},
                          [&](const auto& response) { status = response ? response->status : 0; });
            while (!status) {
                loop->run_once();
            }
            return *status;
        };
        section("its caller sees the connection closed", [&] { CPPUNIT_ASSERT_EQUAL(0, fetch("/fails")); });
        section("the next request is served, and none is left open", [&] {
            CPPUNIT_ASSERT_EQUAL(200, fetch("/works"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server->open_exchanges());
        });
    }

    void a_call_ends_although_its_handler_fails()
    {
        const auto loop = std::move(*event_loop::create());
        const auto server =
            std::move(*http_server::create(*loop, "127.0.0.1:0", {}, [](const auto& exchange) {
                exchange->send_response({200, {}, "ok"});
            }));
        const auto client = http_client::create(*loop);
        for (const auto* const callback : {"head", "data", "end", "failure"}) {
            section(std::string{"the handler fails at "} + callback, [&] {
                const auto handler = std::make_shared<failing_handler>(callback);
                const bool is_refused = std::string_view{callback} == "failure";
                const auto peer =
                    is_refused ? socket_address{"127.0.0.1", 1} : *parse_address(server->address());
                const auto call = client->start(peer, {"GET", "/", {}, {}}, {}, handler);
                while (handler->ended == 0) {
                    loop->run_once();
                }
                CPPUNIT_ASSERT_EQUAL(1, handler->ended);
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(callback_failure_tests);

} // namespace

} // namespace tanager
