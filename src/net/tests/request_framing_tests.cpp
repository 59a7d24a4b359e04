#include "net/http_client.h"
#include "net/http_server.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using testing::section;

const std::string hidden_request = "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

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

// Guards against bodies that the next server reads as requests (review case 2).
class request_framing_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_framing_tests);
    CPPUNIT_TEST(sends_exactly_the_framing_of_the_body);
    CPPUNIT_TEST_SUITE_END();

public:
    // The request as the peer reads it, with a second request behind it on the same connection.
    void sends_exactly_the_framing_of_the_body()
    {
        const std::vector<std::pair<std::string, http_headers>> foreign_framings{
            {"no framing of the caller", {}},
            {"the caller's length", {{"Content-Length", "3"}}},
            {"the caller's chunks", {{"Transfer-Encoding", "chunked"}}},
            {"both", {{"content-length", "0"}, {"transfer-encoding", "chunked"}}},
            {"the caller's expectation", {{"Expect", "100-continue"}}}};
        for (const std::string method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
            for (const auto& body : {std::string{}, hidden_request}) {
                for (const auto& [name, headers] : foreign_framings) {
                    section(method + (body.empty() ? " without" : " with") + " a body, and " + name, [&] {
                        recording_server server;
                        const auto client = http_client::create(*server.loop);
                        std::vector<int> statuses;
                        const auto collect = [&](const tl::expected<http_response, http_failure>& response) {
                            statuses.push_back(response ? response->status : -1);
                        };
                        client->fetch(server.address(), {method, "/first", headers, body}, {}, collect);
                        while (statuses.empty()) {
                            server.loop->run_once();
                        }
                        client->fetch(server.address(), {"GET", "/next", {}, {}}, {}, collect);
                        while (statuses.size() < 2) {
                            server.loop->run_once();
                        }
                        const std::vector<std::string> expected{method + " /first " + body, "GET /next "};
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
