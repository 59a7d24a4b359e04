#include "net/http_client.h"
#include "testing/section.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <optional>
#include <set>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::size_t block_bytes = 16'384;
// The 8 MB that a call collects, and as much again for the buffers of the two sockets.
constexpr std::size_t max_sent_bytes = std::size_t{16} * 1024 * 1024;

// Responds with `response_start` and then repeats the same block until the client closes the connection.
class endless_server {
public:
    endless_server(event_loop& loop, std::string response_start, const std::string& repeated)
        : response_start(std::move(response_start))
    {
        while (this->block.size() < block_bytes) {
            this->block += repeated;
        }
        sockaddr_in any{};
        any.sin_family = AF_INET;
        any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE;
        this->listener = evconnlistener_new_bind(loop.native_handle(),
                                                 &endless_server::on_accepted,
                                                 this,
                                                 flags,
                                                 -1,
                                                 reinterpret_cast<const sockaddr*>(&any), // NOLINT(*-cast)
                                                 sizeof any);
        socklen_t size = sizeof any;
        getsockname(evconnlistener_get_fd(this->listener),
                    reinterpret_cast<sockaddr*>(&any), // NOLINT(*-cast)
                    &size);
        this->address = {"127.0.0.1", ntohs(any.sin_port)};
    }

    ~endless_server()
    {
        for (auto* const connection : this->connections) {
            bufferevent_free(connection);
        }
        evconnlistener_free(this->listener);
    }

    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    endless_server(endless_server&&) = delete;
    endless_server& operator=(endless_server&&) = delete;

    bool has_no_connections() const
    {
        return this->connections.empty();
    }

    socket_address address;
    std::size_t sent = 0;

private:
    static void on_accepted(evconnlistener* listener, evutil_socket_t peer, sockaddr*, int, void* self)
    {
        auto& server = *static_cast<endless_server*>(self);
        auto* const connection =
            bufferevent_socket_new(evconnlistener_get_base(listener), peer, BEV_OPT_CLOSE_ON_FREE);
        server.connections.insert(connection);
        bufferevent_setcb(connection,
                          &endless_server::on_request,
                          &endless_server::on_sent,
                          &endless_server::on_closed,
                          self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void on_request(bufferevent* connection, void* self)
    {
        evbuffer_drain(bufferevent_get_input(connection), block_bytes);
        bufferevent_write(connection,
                          static_cast<endless_server*>(self)->response_start.data(),
                          static_cast<endless_server*>(self)->response_start.size());
        static_cast<endless_server*>(self)->request_received = true;
    }

    static void on_sent(bufferevent* connection, void* self)
    {
        auto& server = *static_cast<endless_server*>(self);
        if (server.request_received) {
            server.sent += server.block.size();
            bufferevent_write(connection, server.block.data(), server.block.size());
        }
    }

    static void on_closed(bufferevent* connection, short what, void* self) // NOLINT(*-runtime-int)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<endless_server*>(self)->connections.erase(connection);
            bufferevent_free(connection);
        }
    }

    std::string response_start;
    std::string block;
    evconnlistener* listener = nullptr;
    std::set<bufferevent*> connections;
    bool request_received = false;
};

// Guards against calls that read without limit from a peer whose response never ends: the call must fail and
// close its connection.
class unbounded_response_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unbounded_response_tests);
    CPPUNIT_TEST(ends_calls_with_unbounded_responses);
    CPPUNIT_TEST_SUITE_END();

public:
    void ends_calls_with_unbounded_responses()
    {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        section("the status line never ends",
                [&] { assert_call_fails("HTTP", "x", result_code::reply_malformed); });
        section("header fields follow without end",
                [&] { assert_call_fails(head, "A: b\r\n", result_code::reply_malformed); });
        section("one header field never ends",
                [&] { assert_call_fails(head + "A: ", "b", result_code::reply_malformed); });
        section("a body without framing never ends",
                [&] { assert_call_fails(head + "\r\n", "x", result_code::reply_malformed); });
        section("Content-Length is about 100 GB", [&] {
            assert_call_fails(
                head + "Content-Length: 99999999999\r\n\r\n", "x", result_code::reply_malformed);
        });
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        section("chunks follow without end", [&] {
            assert_call_fails(
                chunked, "400\r\n" + std::string(1'024, 'x') + "\r\n", result_code::reply_malformed);
        });
        section("the size of a chunk never ends",
                [&] { assert_call_fails(chunked, "1", result_code::reply_malformed); });
        section("trailer fields follow without end",
                [&] { assert_call_fails(chunked + "0\r\n", "A: b\r\n", result_code::reply_malformed); });
        // Guards against an interim response that is passed on as the response.
        section("an interim response comes first", [&] {
            assert_call_fails("HTTP/1.1 103 Early Hints\r\n\r\n",
                              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                              result_code::reply_malformed);
        });
        section("100 Continue responses follow without end",
                [&] { assert_call_fails("", "HTTP/1.1 100 Continue\r\n\r\n", result_code::timed_out); });
    }

private:
    static void
    assert_call_fails(const std::string& response_start, const std::string& repeated, result_code expected)
    {
        const auto loop = std::move(*event_loop::create());
        endless_server server(*loop, response_start, repeated);
        const auto client = http_client::create(*loop);
        std::optional<tl::expected<http_response, http_failure>> outcome;
        http_call_options options;
        options.timeout = 300ms;
        options.accept_unframed = true;
        client->fetch(
            server.address, {"GET", "/", {}, {}}, options, [&](const auto& response) { outcome = response; });
        while (!outcome || !server.has_no_connections()) {
            loop->run_once();
        }
        CPPUNIT_ASSERT(!outcome->has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{name_of(expected)},
                             std::string{name_of(outcome->error().cause.code)});
        CPPUNIT_ASSERT(expected == result_code::timed_out || server.sent < max_sent_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unbounded_response_tests);

} // namespace

} // namespace tanager
