// Guards against a text from elsewhere that becomes a header or a request of its own, because it was put into
// a request as it is.
#include "net/http_client.h"
#include "net/http_server.h"
#include "testing/concatenate.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::concatenate;
using testing::section;

constexpr int byte_count = 256;

bool is_control(int byte)
{
    return byte < ' ' || byte == 0x7F;
}

// A server that counts its requests, and a client.
class local_site {
public:
    local_site()
        : loop(std::move(*event_loop::create())),
          client(http_client::create(*loop)),
          server(std::move(*http_server::create(*loop,
                                                "127.0.0.1:0",
                                                {},
                                                [this](const auto& exchange) {
                                                    ++this->requests;
                                                    exchange->send_response({200, {}, "ok"});
                                                }))),
          address(*parse_address(server->address()))
    {
    }

    // Returns the result of a call.
    tl::expected<http_response, http_failure> send(const http_request& request) const
    {
        std::optional<tl::expected<http_response, http_failure>> outcome;
        http_call_options options;
        options.timeout = 5s;
        const auto call = this->client->fetch(
            this->address, request, options, [&](const auto& received) { outcome = received; });
        CPPUNIT_ASSERT(!outcome); // never before `fetch` returns
        while (!outcome) {
            this->loop->run_once();
        }
        return *outcome;
    }

    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> server;
    socket_address address;
    int requests = 0;
};

class sendable_request_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sendable_request_tests);
    CPPUNIT_TEST(sends_no_control_characters);
    CPPUNIT_TEST(fails_a_rejected_call_unless_it_is_cancelled);
    CPPUNIT_TEST_SUITE_END();

public:
    void sends_no_control_characters()
    {
        local_site site;
        const auto check = [&](const http_request& request, bool is_expected) {
            const auto requests_before = site.requests;
            const auto outcome = site.send(request);
            CPPUNIT_ASSERT_EQUAL(is_expected, is_sendable(request));
            CPPUNIT_ASSERT_EQUAL(requests_before + (is_expected ? 1 : 0), site.requests);
            if (!is_expected) {
                CPPUNIT_ASSERT(outcome.error().cause.code == result_code::request_malformed);
                CPPUNIT_ASSERT(outcome.error().progress == call_progress::not_sent);
            }
        };
        for (int value = 0; value < byte_count; ++value) {
            const std::string byte(1, static_cast<char>(value));
            section(concatenate({"a part of a request holds the byte ", std::to_string(value)}), [&] {
                const auto text = concatenate({"a", byte, "b"});
                check({"GET", "/" + text, {}, {}}, byte != " " && !is_control(value));
                check({"GET", "/", {{"Name", text}}, {}}, byte == "\t" || !is_control(value));
                check({"GET", "/", {{text, "value"}}, {}}, is_header_name(text));
            });
        }
        section("a part holds a whole request, or is empty", [&] {
            const std::string hidden =
                " HTTP/1.1\r\nHost: x\r\n\r\nDELETE /hidden HTTP/1.1\r\nHost: x\r\n\r\n";
            check({"GET", "/a" + hidden, {}, {}}, false);
            check({"GET" + hidden, "/a", {}, {}}, false);
            check({"GET", "/a", {{"Name", "x\r\n\r\nDELETE /hidden" + hidden}}, {}}, false);
            check({"GET", "", {}, {}}, false);
            check({"", "/", {}, {}}, false);
            check({"GET", "/", {{"", "x"}}, {}}, false);
        });
    }

    void fails_a_rejected_call_unless_it_is_cancelled()
    {
        section("a call that cannot be sent is cancelled before it has failed", [] {
            local_site site;
            bool has_result = false;
            const auto call =
                site.client->fetch(site.address, {"GET", "/a b", {}, {}}, {}, [&](const auto& /*outcome*/) {
                    has_result = true;
                });
            call->pause();
            call->resume();
            call->cancel();
            site.loop->post([] {});
            site.loop->run_once();
            CPPUNIT_ASSERT(!has_result);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sendable_request_tests);

} // namespace

} // namespace tanager
