#include "net/http_client.h"
#include "net/http_server.h"
#include "testing/concatenate.h"
#include "testing/section.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>
#include <unistd.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::concatenate;
using testing::section;

const std::string hidden_request = "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

std::string with_length(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string in_chunks(const std::string& body)
{
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx", body.size()); // NOLINT(*-vararg)
    return std::string{"Transfer-Encoding: chunked\r\n\r\n"} + size.data() + "\r\n" + body + "\r\n0\r\n\r\n";
}

// A caller on a plain socket, for requests that an HTTP library would not send.
class raw_caller {
public:
    raw_caller(event_loop& loop, const socket_address& address)
        : loop(loop), descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
        const auto* const generic_peer = reinterpret_cast<const sockaddr*>(&peer); // NOLINT(*-cast)
        CPPUNIT_ASSERT_EQUAL(0, connect(this->descriptor, generic_peer, sizeof peer));
    }

    ~raw_caller()
    {
        close(this->descriptor);
    }

    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    raw_caller(raw_caller&&) = delete;
    raw_caller& operator=(raw_caller&&) = delete;

    void send_bytes(const std::string& bytes) const
    {
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(bytes.size()),
                             send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    // Runs the loop until the server has closed the connection. Returns whether it did within the time.
    bool is_closed_within(std::chrono::milliseconds time)
    {
        bool is_over = false;
        const auto timer = this->loop.run_after(time, [&] { is_over = true; });
        std::array<char, 4096> buffer{};
        while (!is_over) {
            const auto count = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count == 0 || (count < 0 && errno == ECONNRESET)) {
                return true;
            }
            if (count > 0) {
                this->received.append(buffer.data(), static_cast<std::size_t>(count));
                continue;
            }
            this->loop.run_once();
        }
        return false;
    }

    std::string received;

private:
    event_loop& loop;
    int descriptor;
};

// A server that answers every request at once, and records method, path and body.
class recording_server {
public:
    explicit recording_server(const http_server_limits& limits = {})
        : loop(std::move(*event_loop::create())),
          server(std::move(*http_server::create(*loop, "127.0.0.1:0", limits, [this](const auto& exchange) {
              const auto& request = exchange->request();
              this->requests.push_back(request.method + " " + request.path + " " + request.body);
              exchange->send_response({200, {}, "ok"});
          })))
    {
    }

    socket_address address() const
    {
        return *parse_address(this->server->address());
    }

    std::unique_ptr<event_loop> loop;
    std::vector<std::string> requests;
    std::unique_ptr<http_server> server;
};

// Guards against bodies that are read as requests: where the end of a request is unknown to either side, what
// follows it must not be taken for a request (review case 2).
class request_framing_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_framing_tests);
    CPPUNIT_TEST(reads_the_body_of_each_method);
    CPPUNIT_TEST(ends_connections_on_which_the_end_of_a_request_is_unknown);
    CPPUNIT_TEST(sends_exactly_the_framing_of_the_body);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_the_body_of_each_method()
    {
        for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
            for (const auto& framed : {with_length(hidden_request), in_chunks(hidden_request)}) {
                for (const std::string extra : {"", "Expect: 100-continue\r\n"}) {
                    section(concatenate({method, " has a body; ", framed.substr(0, 17), extra}), [&] {
                        recording_server server;
                        raw_caller caller(*server.loop, server.address());
                        caller.send_bytes(concatenate({method,
                                                       " /first HTTP/1.1\r\nHost: a\r\n",
                                                       extra,
                                                       framed,
                                                       "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"}));
                        CPPUNIT_ASSERT(!caller.is_closed_within(100ms));
                        const std::vector<std::string> expected{
                            concatenate({method, " /first ", hidden_request}), "GET /next "};
                        CPPUNIT_ASSERT(server.requests == expected);
                    });
                }
            }
        }
    }

    void ends_connections_on_which_the_end_of_a_request_is_unknown()
    {
        const auto length = "Content-Length: " + std::to_string(hidden_request.size()) + "\r\n";
        const std::vector<std::pair<std::string, std::string>> framings{
            {"two lengths", length + length + "\r\n"},
            {"two different lengths", "Content-Length: 0\r\n" + length + "\r\n"},
            {"a list of lengths", "Content-Length: 0, 0\r\n\r\n"},
            {"a length and chunks", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"two encodings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
            {"an unknown encoding", "Transfer-Encoding: gzip\r\n\r\n"},
            {"chunks in another encoding", "Transfer-Encoding: gzip, chunked\r\n\r\n"},
            {"the identity encoding", "Transfer-Encoding: identity\r\n\r\n"},
            {"a length with a sign", "Content-Length: +0\r\n\r\n"},
            {"a hexadecimal length", "Content-Length: 0x0\r\n\r\n"},
            {"a negative length", "Content-Length: -1\r\n\r\n"},
            {"an empty length", "Content-Length:\r\n\r\n"},
            {"a length beyond the type", "Content-Length: 99999999999999999999999\r\n\r\n"},
            {"a blank before the colon of the length", "Content-Length : 40\r\n\r\n"},
            {"a blank before the colon of the encoding", "Transfer-Encoding : chunked\r\n\r\n"},
            {"a control character in a name", "Content-Length\v: 40\r\n\r\n"},
            {"a folded encoding", "Transfer-Encoding:\r\n chunked\r\n\r\n"},
            {"a chunk size that is no number", "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
            {"a chunk size beyond the type", "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff0\r\n"},
            {"a body that is too long", "Content-Length: 5000\r\n\r\n" + std::string(5'000, 'x')},
            {"an unknown expectation", "Expect: 200-ok\r\n" + length + "\r\n"},
        };
        http_server_limits limits;
        limits.max_body_bytes = 4'000;
        for (const std::string method : {"GET", "POST", "DELETE"}) {
            for (const auto& each : framings) {
                section(concatenate({method, " has ", each.first}), [&] {
                    recording_server server(limits);
                    raw_caller caller(*server.loop, server.address());
                    caller.send_bytes(concatenate(
                        {method, " /first HTTP/1.1\r\nHost: a\r\n", each.second, hidden_request}));
                    const bool is_closed = caller.is_closed_within(500ms);
                    for (const auto& request : server.requests) {
                        CPPUNIT_ASSERT_MESSAGE(request, !request.starts_with("POST /hidden"));
                    }
                    CPPUNIT_ASSERT_MESSAGE(caller.received, is_closed);
                });
            }
        }
        for (const auto& framed : {with_length(hidden_request), in_chunks(hidden_request)}) {
            section("HEAD has a body, which evhttp leaves on the connection", [&] {
                recording_server server;
                raw_caller caller(*server.loop, server.address());
                caller.send_bytes("HEAD /first HTTP/1.1\r\nHost: a\r\n" + framed);
                CPPUNIT_ASSERT(caller.is_closed_within(500ms));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.requests.size());
            });
        }
        for (const std::string method : {"FOO", "TRACE", "OPTIONS", "CONNECT"}) {
            section("the method is " + method, [&] {
                recording_server server;
                raw_caller caller(*server.loop, server.address());
                caller.send_bytes(
                    concatenate({method, " /first HTTP/1.1\r\nHost: a\r\n", with_length(hidden_request)}));
                const bool is_closed = caller.is_closed_within(500ms);
                CPPUNIT_ASSERT(server.requests.empty());
                CPPUNIT_ASSERT_MESSAGE(caller.received, is_closed);
            });
        }
    }

    // The request as the peer reads it, with a second request behind it on the same connection.
    void sends_exactly_the_framing_of_the_body()
    {
        section("HEAD is answered without a body, and another request follows", [] {
            recording_server server;
            raw_caller caller(*server.loop, server.address());
            caller.send_bytes("HEAD /first HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n");
            CPPUNIT_ASSERT(!caller.is_closed_within(100ms));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server.requests.size());
            const auto second = caller.received.rfind("HTTP/1.1");
            CPPUNIT_ASSERT_EQUAL(std::string{"\r\n\r\n"}, caller.received.substr(second - 4, 4));
        });
        const std::vector<std::pair<std::string, http_headers>> foreign_framings{
            {"no framing of the caller", {}},
            {"the caller's length", {{"Content-Length", "3"}}},
            {"the caller's chunks", {{"Transfer-Encoding", "chunked"}}},
            {"both", {{"content-length", "0"}, {"transfer-encoding", "chunked"}}},
            {"the caller's expectation", {{"Expect", "100-continue"}}}};
        for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
            for (const auto& body : {std::string{}, hidden_request}) {
                for (const auto& each : foreign_framings) {
                    const auto* const has_body =
                        body.empty() ? " without a body, and " : " with a body, and ";
                    section(concatenate({method, has_body, each.first}), [&] {
                        recording_server server;
                        const auto client = http_client::create(*server.loop);
                        std::vector<int> statuses;
                        const auto collect = [&](const tl::expected<http_response, http_failure>& response) {
                            statuses.push_back(response ? response->status : -1);
                        };
                        client->fetch(server.address(), {method, "/first", each.second, body}, {}, collect);
                        while (statuses.empty()) {
                            server.loop->run_once();
                        }
                        client->fetch(server.address(), {"GET", "/next", {}, {}}, {}, collect);
                        while (statuses.size() < 2) {
                            server.loop->run_once();
                        }
                        const std::vector<std::string> expected{concatenate({method, " /first ", body}),
                                                                "GET /next "};
                        CPPUNIT_ASSERT(server.requests == expected);
                        CPPUNIT_ASSERT(statuses == (std::vector<int>{200, 200}));
                    });
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_framing_tests);

} // namespace

} // namespace tanager
