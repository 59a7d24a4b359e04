#include "net/http_client.h"
#include "testing/concatenate.h"
#include "testing/section.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::concatenate;
using testing::section;

const std::string ok_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr int max_backlog = 4'096;

// A peer on plain sockets, which accepts, reads, answers and closes when the test says so.
class raw_peer {
public:
    explicit raw_peer(int backlog = max_backlog)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        auto* const generic_address = reinterpret_cast<sockaddr*>(&address); // NOLINT(*-cast)
        CPPUNIT_ASSERT_EQUAL(0, bind(this->listener, generic_address, length));
        CPPUNIT_ASSERT_EQUAL(0, listen(this->listener, backlog));
        CPPUNIT_ASSERT_EQUAL(0, getsockname(this->listener, generic_address, &length));
        this->port = ntohs(address.sin_port);
    }

    ~raw_peer()
    {
        for (const auto& connection : this->connections) {
            close(connection.descriptor);
        }
        close(this->listener);
    }

    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;
    raw_peer(raw_peer&&) = delete;
    raw_peer& operator=(raw_peer&&) = delete;

    socket_address address() const
    {
        return {"127.0.0.1", this->port};
    }

    // Accepts what is waiting without reading from it.
    void accept_all()
    {
        for (;;) {
            const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            this->connections.push_back({descriptor, {}});
        }
    }

    // Accepts and reads what has arrived.
    void read_all()
    {
        this->accept_all();
        std::array<char, 65'536> buffer{};
        for (auto& connection : this->connections) {
            for (;;) {
                const auto count = recv(connection.descriptor, buffer.data(), buffer.size(), 0);
                if (count <= 0) {
                    break;
                }
                connection.received.append(buffer.data(), static_cast<std::size_t>(count));
            }
        }
    }

    void send_bytes(const std::string& bytes)
    {
        CPPUNIT_ASSERT_EQUAL(
            static_cast<ssize_t>(bytes.size()),
            send(this->connections.back().descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

    // Closes the last connection, with a reset or in order.
    void close_last(bool with_reset)
    {
        const linger no_linger{1, 0};
        if (with_reset) {
            setsockopt(
                this->connections.back().descriptor, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
        }
        close(this->connections.back().descriptor);
        this->connections.back().descriptor = -1;
    }

    std::size_t connections_with_bytes() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->connections, [](const auto& connection) { return !connection.received.empty(); }));
    }

    bool has_received(const std::string& text) const
    {
        return std::ranges::any_of(this->connections, [&](const auto& connection) {
            return connection.received.find(text) != std::string::npos;
        });
    }

    struct connection_record {
        int descriptor = -1;
        std::string received;
    };
    std::vector<connection_record> connections;

private:
    int listener;
    std::uint16_t port = 0;
};

// Records how a call ended.
class outcome_recorder final : public http_response_handler {
public:
    void on_head(int /*status*/, const http_headers& /*headers*/) override {}
    void on_data(std::string_view /*data*/) override {}

    void on_end() override
    {
        this->is_complete = true;
        this->when_ended();
    }

    void on_failure(const http_failure& failure) override
    {
        this->progress = failure.progress;
    }

    bool has_ended() const
    {
        return this->is_complete || this->progress.has_value();
    }

    bool is_complete = false;
    std::optional<call_progress> progress;
    std::function<void()> when_ended = [] {
    };
};

struct started_call {
    std::shared_ptr<outcome_recorder> outcome;
    std::shared_ptr<http_call> call;
    std::unique_ptr<loop_timer> timer;
    bool was_unsent_at_cancel = false;

    // As request_forwarder does when a connection is not established in time.
    void cancel_if_unsent()
    {
        if (!this->outcome->has_ended() && !this->call->is_sent()) {
            this->was_unsent_at_cancel = true;
            this->call->cancel();
        }
    }

    bool is_reported_as_not_sent() const
    {
        return this->was_unsent_at_cancel || this->outcome->progress == call_progress::not_sent;
    }
};

http_request make_request(std::size_t number, std::size_t body_bytes = 0)
{
    return {"POST", concatenate({"/n", std::to_string(number), "/"}), {}, std::string(body_bytes, 'x')};
}

// Guards against requests that are reported as not sent, and are therefore sent to another server or rejected
// as not run, although a byte of them has reached the peer or still does.
class unsent_request_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unsent_request_tests);
    CPPUNIT_TEST(a_connection_fails_before_the_request_is_sent);
    CPPUNIT_TEST(connections_are_established_while_the_process_stands_still);
    CPPUNIT_TEST(nothing_is_sent_after_a_call_was_cancelled);
    CPPUNIT_TEST(a_request_that_has_left_in_part_counts_as_sent);
    CPPUNIT_TEST(the_peer_ends_a_reused_connection);
    CPPUNIT_TEST(a_response_arrives_before_the_request_is_sent);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->loop = std::move(*event_loop::create());
        this->client = http_client::create(*this->loop);
    }

    void tearDown() override
    {
        this->run_for(5ms); // ends cancelled calls
        this->client.reset();
        this->loop.reset();
    }

    void a_connection_fails_before_the_request_is_sent()
    {
        section("nothing listens at the address", [&] {
            const auto address = raw_peer().address();
            auto started = this->start(address, 1);
            this->run_until_ended(started);
            CPPUNIT_ASSERT(call_progress::not_sent == started.outcome->progress);
        });
        section("the peer's backlog is full until the call has timed out", [&] {
            raw_peer peer(0);
            std::vector<started_call> calls;
            for (std::size_t number = 0; number < 4; ++number) {
                calls.push_back(this->start(peer.address(), number, 100ms));
            }
            const auto& last = calls.back();
            while (!last.outcome->has_ended()) {
                this->loop->run_once();
            }
            CPPUNIT_ASSERT(call_progress::not_sent == last.outcome->progress);
            this->read_for(peer, 1'300ms); // a lost SYN would be sent again after a second
            CPPUNIT_ASSERT(!peer.has_received("/n3/"));
            CPPUNIT_ASSERT(peer.has_received("/n0/"));
        });
        section("the peer's backlog is full until the call was cancelled", [&] {
            raw_peer peer(0);
            std::vector<started_call> calls;
            for (std::size_t number = 0; number < 4; ++number) {
                calls.push_back(this->start(peer.address(), number));
            }
            this->run_for(50ms);
            calls.back().cancel_if_unsent();
            CPPUNIT_ASSERT(calls.back().is_reported_as_not_sent());
            this->read_for(peer, 1'300ms);
            this->check_reports(peer, calls);
            CPPUNIT_ASSERT(peer.has_received("/n0/"));
        });
    }

    // libevent reads 32 events from the kernel at once, and more only after it has received as many.
    void connections_are_established_while_the_process_stands_still()
    {
        for (const std::size_t count : {1, 20, 32, 33, 64, 300}) {
            for (const bool is_cancelled_by_a_timer : {true, false}) {
                const auto* const what = is_cancelled_by_a_timer
                                             ? " calls are cancelled if nothing is sent in time"
                                             : " calls reach their timeout";
                section(concatenate({std::to_string(count), what}), [&] {
                    this->tearDown(); // a loop that has seen more events reads more at once
                    this->setUp();
                    raw_peer peer;
                    std::vector<started_call> calls(count);
                    for (std::size_t number = 0; number < count; ++number) {
                        auto& started = calls[number];
                        started = this->start(peer.address(), number, is_cancelled_by_a_timer ? 10s : 20ms);
                        if (is_cancelled_by_a_timer) {
                            started.timer =
                                this->loop->run_after(20ms, [&started] { started.cancel_if_unsent(); });
                        }
                    }
                    std::this_thread::sleep_for(60ms);
                    this->read_for(peer, 100ms);
                    this->check_reports(peer, calls);
                });
            }
        }
        section("the process stands still again and again while connections are established", [&] {
            raw_peer peer;
            std::vector<started_call> calls(400);
            for (std::size_t number = 0; number < calls.size(); ++number) {
                auto& started = calls[number];
                started = this->start(peer.address(), number);
                started.timer = this->loop->run_after(std::chrono::milliseconds{number % 7},
                                                      [&started] { started.cancel_if_unsent(); });
                if (number % 50 == 0) {
                    std::this_thread::sleep_for(4ms);
                    this->loop->run_once();
                }
            }
            this->read_for(peer, 100ms);
            this->check_reports(peer, calls);
        });
    }

    // A call is cancelled by a task of the loop while the event that would send its request waits behind that
    // task.
    void nothing_is_sent_after_a_call_was_cancelled()
    {
        section("a connection has been established, and the loop has not seen it", [&] {
            raw_peer peer;
            auto started = this->start(peer.address(), 1);
            this->cancel_ahead_of_the_send(started);
            this->read_for(peer, 50ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, peer.connections_with_bytes());
        });
        section("the request waits in the send buffer of a reused connection", [&] {
            for (const bool is_cancelled_by_a_task : {true, false}) {
                raw_peer peer;
                this->complete_first_request(peer);
                auto started = this->start(peer.address(), 2);
                if (is_cancelled_by_a_task) {
                    this->cancel_ahead_of_the_send(started);
                } else {
                    started.cancel_if_unsent();
                }
                this->read_for(peer, 50ms);
                CPPUNIT_ASSERT(started.is_reported_as_not_sent());
                CPPUNIT_ASSERT(!peer.has_received("/n2/"));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peer.connections.size());
            }
        });
        section("the response to another call cancels it, in the same iteration of the loop", [&] {
            raw_peer answering_peer;
            auto answered = this->start(answering_peer.address(), 1);
            while (!answering_peer.has_received("/n1/")) {
                this->run_for(1ms);
                answering_peer.read_all();
            }
            answering_peer.send_bytes(ok_response);
            raw_peer peer;
            std::vector<started_call> calls(20);
            for (std::size_t number = 0; number < calls.size(); ++number) {
                calls[number] = this->start(peer.address(), number);
            }
            answered.outcome->when_ended = [&] {
                for (auto& started : calls) {
                    started.cancel_if_unsent();
                }
            };
            std::this_thread::sleep_for(2ms);
            this->read_for(peer, 50ms);
            CPPUNIT_ASSERT(answered.outcome->is_complete);
            this->check_reports(peer, calls);
        });
    }

    void a_request_that_has_left_in_part_counts_as_sent()
    {
        section("the peer accepts the connection and does not read", [&] {
            raw_peer peer;
            constexpr std::size_t body_bytes = 32'000'000;
            auto started = this->start(peer.address(), 1, 10s, body_bytes);
            this->run_for(50ms);
            CPPUNIT_ASSERT(started.call->is_sent());
            started.cancel_if_unsent();
            CPPUNIT_ASSERT(!started.is_reported_as_not_sent());
            started.call->cancel();
            this->read_for(peer, 50ms);
            section("after it was cancelled, the peer gets only what had left before", [&] {
                CPPUNIT_ASSERT(peer.has_received("/n1/"));
                CPPUNIT_ASSERT(peer.connections.front().received.size() < body_bytes);
            });
        });
        section("the call times out in the middle of its request", [&] {
            raw_peer peer;
            auto started = this->start(peer.address(), 1, 50ms, 32'000'000);
            this->run_until_ended(started);
            CPPUNIT_ASSERT(call_progress::maybe_sent == started.outcome->progress);
        });
    }

    void the_peer_ends_a_reused_connection()
    {
        enum class closing_moment { long_before, just_before, after_the_start };
        const std::map<closing_moment, std::string> moments{
            {closing_moment::long_before, ", seen by the loop before"},
            {closing_moment::just_before, ", not seen by the loop before"},
            {closing_moment::after_the_start, ", after the call was started"}};
        for (const bool with_reset : {false, true}) {
            for (const auto& [moment, moment_name] : moments) {
                for (const std::size_t body_bytes : {0, 1'000'000}) {
                    section(concatenate({with_reset ? "with a reset" : "in order",
                                         moment_name,
                                         body_bytes > 0 ? ", a long request" : ", a short request"}),
                            [&, moment = moment] {
                                raw_peer peer;
                                this->complete_first_request(peer);
                                std::vector<started_call> calls(1);
                                if (moment == closing_moment::after_the_start) {
                                    calls[0] = this->start(peer.address(), 2, 100ms, body_bytes);
                                    peer.close_last(with_reset);
                                } else {
                                    peer.close_last(with_reset);
                                    if (moment == closing_moment::long_before) {
                                        this->run_for(10ms);
                                    }
                                    calls[0] = this->start(peer.address(), 2, 100ms, body_bytes);
                                }
                                this->read_for(peer, 150ms);
                                CPPUNIT_ASSERT(calls[0].outcome->has_ended());
                                const bool is_received = peer.has_received("/n2/");
                                CPPUNIT_ASSERT(!is_received || !calls[0].is_reported_as_not_sent());
                                // A connection that ended before the call is replaced.
                                CPPUNIT_ASSERT_EQUAL(moment != closing_moment::after_the_start, is_received);
                            });
                }
            }
        }
    }

    void a_response_arrives_before_the_request_is_sent()
    {
        const std::vector<std::pair<std::string, std::string>> early_bytes{
            {"a complete response", ok_response},
            {"half of a response", ok_response.substr(0, 20)},
            {"bytes that are no response", "nothing\r\n\r\n"},
            {"more than is read before a call fails", std::string(300'000, 'x')}};
        for (const auto& early : early_bytes) {
            for (const bool is_closed : {false, true}) {
                for (const bool is_seen : {false, true}) {
                    for (const std::size_t body_bytes : {0, 32'000'000}) {
                        const auto* const closing = is_closed ? " and the end of the connection" : "";
                        const auto* const seeing = is_seen ? ", seen by the loop before" : "";
                        const auto* const length = body_bytes > 0 ? ", a long request" : ", a short request";
                        section(concatenate({early.first, closing, seeing, length}), [&] {
                            this->check_early_bytes(early.second, is_closed, is_seen, body_bytes);
                        });
                    }
                }
            }
        }
    }

private:
    void check_early_bytes(const std::string& bytes, bool is_closed, bool is_seen, std::size_t body_bytes)
    {
        raw_peer peer;
        this->complete_first_request(peer);
        peer.send_bytes(bytes);
        if (is_closed) {
            shutdown(peer.connections.back().descriptor, SHUT_WR);
        }
        if (is_seen) {
            this->run_for(5ms);
        }
        const auto started = this->start(peer.address(), 2, 100ms, body_bytes);
        while (!started.outcome->has_ended()) {
            this->loop->run_once();
            if (body_bytes == 0) {
                peer.read_all();
            }
        }
        this->read_for(peer, 20ms);
        CPPUNIT_ASSERT(!peer.has_received("/n2/") || !started.is_reported_as_not_sent());
    }

    started_call start(const socket_address& address,
                       std::size_t number,
                       std::chrono::milliseconds timeout = 10s,
                       std::size_t body_bytes = 0)
    {
        started_call started;
        started.outcome = std::make_shared<outcome_recorder>();
        http_call_options options;
        options.timeout = timeout;
        started.call =
            this->client->start(address, make_request(number, body_bytes), options, started.outcome);
        return started;
    }

    // Leaves an idle connection to the peer in the client's pool.
    void complete_first_request(raw_peer& peer)
    {
        auto started = this->start(peer.address(), 1);
        bool is_answered = false;
        while (!started.outcome->has_ended()) {
            this->run_for(1ms);
            peer.read_all();
            if (!is_answered && peer.has_received("\r\n\r\n")) {
                peer.send_bytes(ok_response);
                is_answered = true;
            }
        }
        CPPUNIT_ASSERT(started.outcome->is_complete);
    }

    // Cancels the call from a task that runs before the events which the kernel has ready for the loop.
    void cancel_ahead_of_the_send(started_call& started)
    {
        std::this_thread::sleep_for(2ms);
        this->loop->post([&] { started.cancel_if_unsent(); });
        this->loop->run_once();
        CPPUNIT_ASSERT(started.was_unsent_at_cancel);
    }

    void run_for(std::chrono::milliseconds time)
    {
        bool is_over = false;
        const auto timer = this->loop->run_after(time, [&] { is_over = true; });
        while (!is_over) {
            this->loop->run_once();
        }
    }

    void run_until_ended(const started_call& started)
    {
        while (!started.outcome->has_ended()) {
            this->loop->run_once();
        }
    }

    void read_for(raw_peer& peer, std::chrono::milliseconds time)
    {
        bool is_over = false;
        const auto timer = this->loop->run_after(time, [&] { is_over = true; });
        const auto wakeup = this->loop->run_every(1ms, [] {});
        while (!is_over) {
            this->loop->run_once();
            peer.read_all();
        }
        peer.read_all();
    }

    // The requests that were reported as not sent are those of which the peer has nothing.
    void check_reports(const raw_peer& peer, const std::vector<started_call>& calls)
    {
        std::size_t reported = 0;
        for (std::size_t number = 0; number < calls.size(); ++number) {
            const auto path = concatenate({"/n", std::to_string(number), "/"});
            const bool is_reported = calls[number].is_reported_as_not_sent();
            reported += is_reported ? 1 : 0;
            CPPUNIT_ASSERT_MESSAGE(path, !is_reported || !peer.has_received(path));
        }
        CPPUNIT_ASSERT(peer.connections_with_bytes() + reported <= calls.size());
    }

    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(unsent_request_tests);

} // namespace

} // namespace tanager
