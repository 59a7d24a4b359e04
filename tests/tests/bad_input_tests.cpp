// Invalid input from callers, engines and operators.
#include "standins/support/expected_completion.h"
#include "testing/section.h"
#include "tests/support/raw_tcp_client.h"
#include "tests/support/test_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace tanager::testing {

namespace {

void assert_rejected(const http_response& response, int status, int code)
{
    CPPUNIT_ASSERT_EQUAL(std::to_string(code), find_header(response.headers, "Tanager-Code"));
    CPPUNIT_ASSERT_EQUAL(status, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, find_header(response.headers, "Tanager-Outcome"));
    CPPUNIT_ASSERT(!find_header(response.headers, "X-Request-Id").empty());
}

http_request request_with_body(const std::string& body)
{
    return {"POST", "/v1/completions", {{"Authorization", std::string{"Bearer "} + midlands_key}}, body};
}

} // namespace

class bad_input_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bad_input_tests);
    CPPUNIT_TEST(bad_requests_are_rejected_with_a_code);
    CPPUNIT_TEST(misbehaving_connections_do_not_affect_other_callers);
    CPPUNIT_TEST(open_connections_are_limited);
    CPPUNIT_TEST(invalid_engine_responses_are_not_passed_on);
    CPPUNIT_TEST(bad_settings_are_reported_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void bad_requests_are_rejected_with_a_code()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {}}, {"o1", "orders", {}}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        const auto send = [&](const http_request& request) {
            return cluster.caller.fetch(entry, request);
        };
        section("invalid bodies are rejected", [&] {
            assert_rejected(send(request_with_body(R"({"model":"swatch","prompt":)")), 400, 301);
            assert_rejected(send(request_with_body("[1,2]")), 400, 301);
            assert_rejected(send(request_with_body(R"({"model":"swatch"})")), 400, 302);
            assert_rejected(send(request_with_body(R"({"model":"swatch","prompt":7})")), 400, 303);
            assert_rejected(
                send(request_with_body(R"({"model":"swatch","prompt":"x","max_tokens":-1})")), 400, 303);
            assert_rejected(
                send(request_with_body(R"({"model":"swatch","prompt":"x","max_tokens":999999})")), 400, 303);
            assert_rejected(
                send(request_with_body(R"({"model":"swatch","prompt":"x","stream":"yes"})")), 400, 303);
            const auto response = send(request_with_body("{\"model\":\"\xff\xfe\"}"));
            CPPUNIT_ASSERT_EQUAL(400, response.status);
        });
        section("unknown callers and work that a caller may not use are rejected", [&] {
            assert_rejected(send(make_completion_request("wrong", "swatch", "x", 1, false)), 401, 305);
            assert_rejected(send({"POST", "/v1/completions", {}, "{}"}), 401, 305);
            assert_rejected(
                send(make_completion_request(midlands_key, "unheard-of", "x", 1, false)), 404, 306);
            assert_rejected(send(make_completion_request(midlands_key, "rulebook", "x", 1, false)), 403, 307);
            assert_rejected(
                send(make_completion_request(midlands_key, "gel-order", "x", 1, false)), 404, 306);
            assert_rejected(send(make_service_request(yesil_key, "gel-order", "x")), 403, 307);
        });
        section("invalid paths, methods and headers are rejected", [&] {
            assert_rejected(send({"POST", "/v2/anything", {}, {}}), 404, 308);
            assert_rejected(send({"GET", "/v1/completions", {}, {}}), 405, 309);
            assert_rejected(
                send(make_service_request(midlands_key, "stock", "x", std::string(200, 'k'))), 400, 303);
            auto request = make_completion_request(midlands_key, "swatch", "x", 1, false);
            request.headers.push_back({"Tanager-Deadline-Ms", "soon"});
            assert_rejected(send(request), 400, 303);
        });
        section("a body over the size limit is rejected before it is read", [&] {
            raw_tcp_client flood(entry);
            CPPUNIT_ASSERT(
                flood.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 104857600\r\n\r\n"));
            CPPUNIT_ASSERT(flood.receive_until("\r\n\r\n").starts_with("HTTP/1.1 413"));
        });
        section("none of these requests reached the engine", [&] {
            const auto runs = cluster.caller.get(cluster.backend_address("m1"), "/runs");
            CPPUNIT_ASSERT(runs.body.find("\"started\":0") != std::string::npos);
        });
        cluster.check_invariants();
    }

    void misbehaving_connections_do_not_affect_other_callers()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {}}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        section("a flood of headers gets an error or a closed connection", [&] {
            raw_tcp_client flood(entry);
            flood.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\n");
            for (int i = 0; i < 5'000 && flood.send("X-Flood-" + std::to_string(i) + ": " +
                                                    std::string(100, 'f') + "\r\n");
                 ++i) {
            }
            const auto response = flood.receive_until("\r\n\r\n");
            CPPUNIT_ASSERT(response.empty() || response.starts_with("HTTP/1.1 4"));
        });
        section("bytes that are not HTTP get an error or a closed connection", [&] {
            raw_tcp_client garbage(entry);
            garbage.send(std::string("\x00\x01\x02\x03garbage\r\n\r\n", 15));
            const auto response = garbage.receive_until("\r\n\r\n");
            CPPUNIT_ASSERT(response.empty() || response.starts_with("HTTP/1.1 4"));
        });
        section("a request whose sending side closes halfway gets no status 200", [&] {
            raw_tcp_client half(entry);
            half.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{\"model\"");
            half.shutdown_send();
            CPPUNIT_ASSERT(half.receive_until("never").find("200 OK") == std::string::npos);
        });
        section("pipelined requests get their responses in order", [&] {
            raw_tcp_client pipelined(entry);
            pipelined.send(
                "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
            const auto responses = pipelined.receive_until("308");
            CPPUNIT_ASSERT(responses.find("200 OK") < responses.find("404"));
        });
        section("other callers are served as before", [&] {
            const auto response = cluster.caller.fetch(
                entry, make_completion_request(midlands_key, "swatch", "still?", 3, false));
            CPPUNIT_ASSERT_EQUAL(standin::expected_completion("still?", 3), completion_text(response));
        });
        cluster.check_invariants();
    }

    void open_connections_are_limited()
    {
        constexpr std::size_t max_descriptors = 80;
        constexpr std::size_t connection_count = 100;
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {}}});
        cluster.start_entry("e1", "descriptors = " + std::to_string(max_descriptors) + "\n");
        const auto open_descriptors = [&] {
            const std::filesystem::directory_iterator listed(
                "/proc/" + std::to_string(cluster.entry("e1").id()) + "/fd");
            return static_cast<std::size_t>(std::distance(begin(listed), end(listed)));
        };
        std::vector<std::unique_ptr<raw_tcp_client>> idle_connections;
        for (std::size_t i = 0; i < connection_count; ++i) {
            idle_connections.push_back(std::make_unique<raw_tcp_client>(cluster.entry_address("e1")));
        }
        cluster.caller.run_until([&] { return open_descriptors() >= max_descriptors; });
        section("connections over the limit are not accepted",
                [&] { CPPUNIT_ASSERT(open_descriptors() <= max_descriptors + 8); });
        section("a waiting connection is served when others have closed", [&] {
            const auto result =
                cluster.caller.start(cluster.entry_address("e1"),
                                     make_completion_request(midlands_key, "swatch", "patient", 2, false));
            idle_connections.clear();
            cluster.caller.run_until([&] { return result->is_finished(); });
            CPPUNIT_ASSERT_EQUAL(standin::expected_completion("patient", 2),
                                 completion_text(*result->response));
        });
        cluster.check_invariants();
    }

    void invalid_engine_responses_are_not_passed_on()
    {
        test_cluster cluster;
        cluster.start_agents({{"m1", "helper", {}}, {"m2", "helper", {}}});
        cluster.start_entry("e1");
        const auto entry = cluster.entry_address("e1");
        for (const std::string fault : {"garbage", "error"}) {
            for (const bool stream : {false, true}) {
                section(fault + (stream ? " in a stream" : " in a whole response"), [&] {
                    cluster.caller.post(cluster.backend_address("m1"), "/faults?" + fault + "=1");
                    cluster.caller.post(cluster.backend_address("m2"), "/faults?" + fault + "=1");
                    const auto response = cluster.caller.fetch(
                        entry, make_completion_request(midlands_key, "swatch", "again", 3, stream));
                    // Each engine fails once, so the retry on the other engine may fail as well.
                    const bool is_complete =
                        completion_text(response) == standin::expected_completion("again", 3);
                    CPPUNIT_ASSERT(is_complete || response.status == 502);
                    CPPUNIT_ASSERT(response.body.find("no answer\n") == std::string::npos);
                    cluster.caller.post(cluster.backend_address("m1"), "/faults?" + fault + "=0");
                    cluster.caller.post(cluster.backend_address("m2"), "/faults?" + fault + "=0");
                });
            }
        }
        section("callers do not notice one faulty engine beside a healthy one", [&] {
            cluster.caller.post(cluster.backend_address("m1"), "/faults?garbage=1000");
            for (int i = 0; i < 10; ++i) {
                const auto prompt = "prompt " + std::to_string(i);
                const auto response = cluster.caller.fetch(
                    entry, make_completion_request(midlands_key, "swatch", prompt, 3, true));
                CPPUNIT_ASSERT_EQUAL(standin::expected_completion(prompt, 3), completion_text(response));
            }
        });
        cluster.check_invariants();
    }

    void bad_settings_are_reported_at_once()
    {
        const std::string path = "bad-settings-" + std::to_string(getpid()) + ".ini";
        std::ofstream(path)
            << "[entry]\nhots = e1\nregion =\n[http]\nlisten = somewhere\nbody_bytes = lots\n"
               "idle_seconds = 0\n[platform]\naddress = 1\ntimeout_ms = 1\n[htttp]\nlisten = x\n"
               "[peers]\nagents = a, b\n";
        child_process entry("tanager-entry", {"--check-config", "--config", path});
        const int code = entry.wait();
        CPPUNIT_ASSERT_EQUAL(3, code);
        for (const std::string reason : {"[entry] hots: unknown key; did you mean 'host'?",
                                         "[entry] host: is required",
                                         "[entry] data_centre: is required",
                                         "[entry] region: is required",
                                         "[http] listen: 'somewhere' is not ip:port",
                                         "[http] body_bytes: 'lots' is not a whole number",
                                         "[http] idle_seconds: 0 is outside 1 to 3600",
                                         "[platform] address: '1' is not ip:port",
                                         "[htttp] listen: unknown section; did you mean [http]?",
                                         "[peers] agents: 'a' is not ip:port"}) {
            entry.wait_for_line(reason);
        }
        std::remove(path.c_str());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(bad_input_tests);

} // namespace tanager::testing
