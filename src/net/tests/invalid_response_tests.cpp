#include "net/http_client.h"
#include "net/mocks/scripted_server.h"
#include "testing/concatenate.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::concatenate;
using testing::section;

using fetch_outcome = tl::expected<http_response, http_failure>;

// Larger than the buffers of two sockets, so that the response comes while the request is being written.
constexpr std::size_t long_upload_bytes = std::size_t{3} * 1024 * 1024;
constexpr std::size_t many_bytes = 60'000;

const std::string empty_body = "Content-Length: 0\r\n\r\n";

fetch_outcome
fetch_from(event_loop& loop, http_client& client, const scripted_server& server, std::string body)
{
    std::optional<fetch_outcome> outcome;
    http_call_options options;
    options.timeout = 2'000ms;
    options.accept_unframed = true;
    client.fetch(server.address, {"POST", "/", {}, std::move(body)}, options, [&](const auto& response) {
        outcome = response;
    });
    while (!outcome) {
        loop.run_once();
    }
    return *outcome;
}

fetch_outcome fetch_response(const std::string& response, connection_end end, std::string body = "request")
{
    const auto loop = std::move(*event_loop::create());
    const scripted_server server(*loop, response, end);
    const auto client = http_client::create(*loop);
    return fetch_from(*loop, *client, server, std::move(body));
}

void assert_malformed(const fetch_outcome& outcome)
{
    CPPUNIT_ASSERT(!outcome);
    CPPUNIT_ASSERT_EQUAL(std::string{name_of(result_code::reply_malformed)},
                         std::string{name_of(outcome.error().cause.code)});
}

void assert_status(int expected, const fetch_outcome& outcome)
{
    CPPUNIT_ASSERT(outcome.has_value());
    CPPUNIT_ASSERT_EQUAL(expected, outcome->status);
}

// Guards against bytes that are no response, or only a part of one, and are passed on as a response.
class invalid_response_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(invalid_response_tests);
    CPPUNIT_TEST(accepts_no_status_outside_http);
    CPPUNIT_TEST(accepts_every_status_of_http);
    CPPUNIT_TEST(never_completes_a_response_that_is_reset_during_the_upload);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_no_status_outside_http()
    {
        for (const std::string status_line : {"HTTP/1.1 000 Trouble",
                                              "HTTP/1.1 001 Trouble",
                                              "HTTP/1.1 099 Trouble",
                                              "HTTP/1.1 101 Switching Protocols",
                                              "HTTP/1.1 600 Trouble",
                                              "HTTP/1.1 999 Trouble",
                                              "HTTP/1.1 20 Trouble",
                                              "HTTP/1.1 2000 Trouble",
                                              "HTTP/1.1 0200 Trouble",
                                              "HTTP/1.1 +200 OK",
                                              "HTTP/1.1 -200 OK",
                                              "HTTP/1.1  200 OK",
                                              "HTTP/1.1 2 0 OK",
                                              "HTTP/1.1 200OK",
                                              "HTTP/1.1 2x0 OK",
                                              "HTTP/1.1 \t200 OK",
                                              "HTTP/1.1",
                                              "HTTP/0.9 200 OK",
                                              "HTTP/2.0 200 OK",
                                              "HTTP/11 200 OK",
                                              "200 OK"}) {
            section(concatenate({"the status line is '", status_line, "'"}), [&] {
                section("as the first line", [&] {
                    assert_malformed(fetch_response(concatenate({status_line, "\r\n", empty_body}),
                                                    connection_end::stays_open));
                });
                section("after an interim response", [&] {
                    assert_malformed(fetch_response(
                        concatenate({"HTTP/1.1 100 Continue\r\n\r\n", status_line, "\r\n", empty_body}),
                        connection_end::stays_open));
                });
                section("in the second response of a connection", [&] {
                    const auto loop = std::move(*event_loop::create());
                    scripted_server server(
                        *loop, "HTTP/1.1 200 OK\r\n" + empty_body, connection_end::stays_open);
                    const auto client = http_client::create(*loop);
                    assert_status(200, fetch_from(*loop, *client, server, "first"));
                    server.set_response(concatenate({status_line, "\r\n", empty_body}));
                    assert_malformed(fetch_from(*loop, *client, server, "second"));
                });
            });
        }
    }

    void accepts_every_status_of_http()
    {
        for (const int status : {200, 299, 404, 421, 503, 599}) {
            for (const std::string version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
                for (const std::string reason : {" A reason", " ", ""}) {
                    const auto head = concatenate({version, std::to_string(status), reason, "\r\n"});
                    section(
                        concatenate({"the status line is '", version, std::to_string(status), reason, "'"}),
                        [&] {
                            assert_status(status,
                                          fetch_response(head + empty_body, connection_end::stays_open));
                            assert_status(
                                status,
                                fetch_response(
                                    concatenate({"HTTP/1.1 100 Continue\r\n\r\n", head, empty_body}),
                                    connection_end::stays_open));
                        });
                }
            }
        }
    }

    void never_completes_a_response_that_is_reset_during_the_upload()
    {
        const std::string upload(long_upload_bytes, 'u');
        const std::string event = "id: 1\ndata: x\n\n";
        for (const std::string header :
             {"", "Connection: close\r\n", "Content-Type: text/event-stream\r\n"}) {
            const auto head = concatenate({"HTTP/1.1 200 OK\r\n", header, "\r\n"});
            for (const auto& body : {std::string{}, std::string{"x"}, event, std::string(many_bytes, 'x')}) {
                section(
                    concatenate({"200 with '", header, "' and ", std::to_string(body.size()), " bytes"}),
                    [&] { CPPUNIT_ASSERT(!fetch_response(head + body, connection_end::resets, upload)); });
            }
            section(concatenate({"200 with '", header, "' in chunks, without the last one"}), [&] {
                const auto chunks =
                    "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
                CPPUNIT_ASSERT(!fetch_response(chunks, connection_end::resets, upload));
                CPPUNIT_ASSERT(!fetch_response(chunks, connection_end::closes));
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invalid_response_tests);

} // namespace

} // namespace tanager
