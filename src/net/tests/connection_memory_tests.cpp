#include "net/http_client.h"
#include "net/http_server.h"
#include "net/internal/connection_memory.h"
#include "testing/section.h"

#include <arpa/inet.h>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::size_t memory_bytes = 1'000'000;
constexpr std::size_t body_bytes = 400'000;

// Callers on plain sockets that do not finish what they have begun.
class stalled_callers {
public:
    stalled_callers(event_loop& loop, const socket_address& address) : loop(loop), address(address) {}

    ~stalled_callers()
    {
        for (const int descriptor : this->descriptors) {
            close(descriptor);
        }
    }

    stalled_callers(const stalled_callers&) = delete;
    stalled_callers& operator=(const stalled_callers&) = delete;
    stalled_callers(stalled_callers&&) = delete;
    stalled_callers& operator=(stalled_callers&&) = delete;

    // Connects a caller and sends as much as the server takes, until the sockets' buffers are full.
    void connect_and_send(const std::string& bytes)
    {
        const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(this->address.port);
        inet_pton(AF_INET, this->address.host.c_str(), &peer.sin_addr);
        const int receive_buffer_bytes = 4'096;
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof receive_buffer_bytes);
        const auto* const generic_peer = reinterpret_cast<const sockaddr*>(&peer); // NOLINT(*-cast)
        CPPUNIT_ASSERT_EQUAL(0, connect(descriptor, generic_peer, sizeof peer));
        this->descriptors.push_back(descriptor);
        for (std::size_t sent = 0; sent < bytes.size();) {
            const auto count = send(
                descriptor, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL); // NOLINT
            if (count < 0 && errno != EAGAIN) {
                return; // the server has closed the connection
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            this->run_loop(1ms);
        }
        this->run_loop(5ms);
    }

    void run_loop(std::chrono::milliseconds time)
    {
        bool is_over = false;
        const auto timer = this->loop.run_after(time, [&] { is_over = true; });
        while (!is_over) {
            this->loop.run_once();
        }
    }

    // Returns what a caller has received, and whether its connection is closed.
    std::pair<std::string, bool> receive(std::size_t index) const
    {
        std::string received;
        std::array<char, 65'536> buffer{};
        for (;;) {
            const auto count = recv(this->descriptors[index], buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (count <= 0) {
                return {received, count == 0 || errno != EAGAIN};
            }
            received.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    std::size_t count_closed() const
    {
        std::size_t closed = 0;
        for (std::size_t index = 0; index < this->descriptors.size(); ++index) {
            closed += this->receive(index).second ? 1 : 0;
        }
        return closed;
    }

private:
    event_loop& loop;
    socket_address address;
    std::vector<int> descriptors;
};

class memory_fixture {
public:
    memory_fixture()
        : loop(std::move(*event_loop::create())),
          server(std::move(*http_server::create(
              *loop, "127.0.0.1:0", make_limits(), [this](const auto& exchange) { this->serve(exchange); }))),
          client(http_client::create(*loop)),
          callers(*loop, *parse_address(server->address()))
    {
    }

    static http_server_limits make_limits()
    {
        http_server_limits limits;
        limits.max_connection_memory = memory_bytes;
        return limits;
    }

    // Returns the status of a request of a caller that behaves, or 0.
    int fetch(const std::string& body = {}) const
    {
        std::optional<int> status;
        this->client->fetch(*parse_address(this->server->address()),
                            {"POST", "/", {}, body},
                            {},
                            [&](const auto& response) { status = response ? response->status : 0; });
        while (!status) {
            this->loop->run_once();
        }
        return *status;
    }

    std::unique_ptr<event_loop> loop;
    std::vector<std::shared_ptr<http_exchange>> waiting; // requests that are being served
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
    stalled_callers callers;

private:
    void serve(const std::shared_ptr<http_exchange>& exchange)
    {
        if (exchange->request().path == "/slow") {
            this->waiting.push_back(exchange);
            return;
        }
        const bool is_long = exchange->request().path == "/long";
        exchange->send_response({200, {}, is_long ? std::string(4 * body_bytes, 'x') : "ok"});
    }
};

// Guards against callers that together exhaust the memory of the process although each keeps the limits of a
// connection. The platform kills a process that exceeds its memory.
class connection_memory_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_memory_tests);
    CPPUNIT_TEST(chooses_the_connection_with_most_bytes);
    CPPUNIT_TEST(rejects_requests_that_never_end);
    CPPUNIT_TEST(closes_connections_whose_callers_do_not_read);
    CPPUNIT_TEST(finishes_the_requests_that_it_serves);
    CPPUNIT_TEST_SUITE_END();

public:
    void chooses_the_connection_with_most_bytes()
    {
        const int short_body = 0;
        const int long_body = 0;
        const int slow_reader = 0;
        connection_memory memory(100);
        section("nothing is closed up to the bound", [&] {
            memory.set_receiving(&short_body, 10);
            memory.set_receiving(&long_body, 30);
            memory.set_unsent(&slow_reader, 60);
            CPPUNIT_ASSERT(!memory.choose_connection_to_close());
        });
        section("beyond it, the connection with most bytes is", [&] {
            memory.set_receiving(&long_body, 70);
            CPPUNIT_ASSERT(memory.choose_connection_to_close() == &long_body);
            CPPUNIT_ASSERT(memory.is_receiving(&long_body));
            CPPUNIT_ASSERT(!memory.is_receiving(&slow_reader));
        });
        section("that suffices", [&] {
            memory.remove(&long_body);
            CPPUNIT_ASSERT_EQUAL(std::size_t{70}, memory.used_bytes());
            CPPUNIT_ASSERT(!memory.choose_connection_to_close());
        });
        section("complete requests count, and are never chosen", [&] {
            memory.add_complete(100);
            CPPUNIT_ASSERT(memory.choose_connection_to_close() == &slow_reader);
            memory.remove(&slow_reader);
            memory.remove(&short_body);
            CPPUNIT_ASSERT(!memory.choose_connection_to_close());
            memory.add_complete(100);
            CPPUNIT_ASSERT(memory.is_exceeded());
            CPPUNIT_ASSERT(!memory.choose_connection_to_close());
            memory.remove_complete(200);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, memory.used_bytes());
        });
    }

    void rejects_requests_that_never_end()
    {
        memory_fixture fixture;
        const auto incomplete =
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n" + std::string(body_bytes, 'x');
        section("ten callers send 400 KB of a body each, and not its end", [&] {
            for (int count = 0; count < 10; ++count) {
                fixture.callers.connect_and_send(incomplete);
            }
            section("eight of them are rejected",
                    [&] { CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture.callers.count_closed()); });
            section("requests of other callers are served, long ones too", [&] {
                CPPUNIT_ASSERT_EQUAL(200, fixture.fetch());
                CPPUNIT_ASSERT_EQUAL(200, fixture.fetch(std::string(100'000, 'x')));
            });
        });
        section("a caller that waits for the response to its body reads that it has not run", [&] {
            memory_fixture other;
            for (int count = 0; count < 3; ++count) {
                other.callers.connect_and_send(incomplete);
            }
            std::string answers;
            for (std::size_t index = 0; index < 3; ++index) {
                answers += other.callers.receive(index).first;
            }
            CPPUNIT_ASSERT(answers.starts_with("HTTP/1.1 503"));
            CPPUNIT_ASSERT(answers.find("Retry-After: 1") != std::string::npos);
        });
    }

    void closes_connections_whose_callers_do_not_read()
    {
        memory_fixture fixture;
        section("callers ask for responses of 1.6 MB and read nothing", [&] {
            for (int count = 0; count < 6; ++count) {
                fixture.callers.connect_and_send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
            }
            fixture.callers.run_loop(50ms);
            section("those are not kept in memory, and others are served", [&] {
                CPPUNIT_ASSERT_EQUAL(200, fixture.fetch());
                CPPUNIT_ASSERT(fixture.callers.count_closed() >= 4);
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.server->open_exchanges());
            });
        });
    }

    void finishes_the_requests_that_it_serves()
    {
        memory_fixture fixture;
        const auto complete =
            "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
            std::string(body_bytes, 'x');
        section("two long requests are being served when callers begin others without end", [&] {
            fixture.callers.connect_and_send(complete);
            fixture.callers.connect_and_send(complete);
            for (int count = 0; count < 5; ++count) {
                fixture.callers.connect_and_send(
                    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n" +
                    std::string(body_bytes, 'x'));
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.waiting.size());
            section("the two get their responses", [&] {
                for (const auto& exchange : fixture.waiting) {
                    exchange->send_response({200, {}, "served"});
                }
                fixture.callers.run_loop(20ms);
                for (const std::size_t index : {0U, 1U}) {
                    CPPUNIT_ASSERT(fixture.callers.receive(index).first.ends_with("served"));
                }
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_memory_tests);

} // namespace

} // namespace tanager
