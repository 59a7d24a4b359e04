// What callers, engines and operators get wrong.
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

void assert_refused(const http_response& reply, int status, int code)
{
    CPPUNIT_ASSERT_EQUAL(std::to_string(code), find_header(reply.headers, "Tanager-Code"));
    CPPUNIT_ASSERT_EQUAL(status, reply.status);
    CPPUNIT_ASSERT_EQUAL(std::string{"not-run"}, find_header(reply.headers, "Tanager-Outcome"));
    CPPUNIT_ASSERT(!find_header(reply.headers, "X-Request-Id").empty());
}

http_request with_body(const std::string& body)
{
    return {"POST", "/v1/completions", {{"Authorization", std::string{"Bearer "} + midlands_key}}, body};
}

} // namespace

class bad_input_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(bad_input_tests);
    CPPUNIT_TEST(bad_requests_are_refused_with_code_and_field);
    CPPUNIT_TEST(misbehaving_sockets_harm_nobody_else);
    CPPUNIT_TEST(connections_are_bounded);
    CPPUNIT_TEST(a_bad_engine_is_not_believed);
    CPPUNIT_TEST(bad_settings_are_reported_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void bad_requests_are_refused_with_code_and_field()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", {}}, {"o1", "orders", {}}});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        const auto send = [&](const http_request& request) {
            return place.caller.fetch(entry, request);
        };
        section("bodies", [&] {
            assert_refused(send(with_body(R"({"model":"swatch","prompt":)")), 400, 301);
            assert_refused(send(with_body("[1,2]")), 400, 301);
            assert_refused(send(with_body(R"({"model":"swatch"})")), 400, 302);
            assert_refused(send(with_body(R"({"model":"swatch","prompt":7})")), 400, 303);
            assert_refused(send(with_body(R"({"model":"swatch","prompt":"x","max_tokens":-1})")), 400, 303);
            assert_refused(
                send(with_body(R"({"model":"swatch","prompt":"x","max_tokens":999999})")), 400, 303);
            assert_refused(send(with_body(R"({"model":"swatch","prompt":"x","stream":"yes"})")), 400, 303);
            const auto reply = send(with_body("{\"model\":\"\xff\xfe\"}"));
            CPPUNIT_ASSERT_EQUAL(400, reply.status);
        });
        section("callers and entries", [&] {
            assert_refused(send(make_completion_request("wrong", "swatch", "x", 1, false)), 401, 305);
            assert_refused(send({"POST", "/v1/completions", {}, "{}"}), 401, 305);
            assert_refused(
                send(make_completion_request(midlands_key, "unheard-of", "x", 1, false)), 404, 306);
            assert_refused(send(make_completion_request(midlands_key, "rulebook", "x", 1, false)), 403, 307);
            assert_refused(send(make_completion_request(midlands_key, "gel-order", "x", 1, false)), 404, 306);
            assert_refused(send(make_service_request(yesil_key, "gel-order", "x")), 403, 307);
        });
        section("paths, methods and headers", [&] {
            assert_refused(send({"POST", "/v2/anything", {}, {}}), 404, 308);
            assert_refused(send({"GET", "/v1/completions", {}, {}}), 405, 309);
            assert_refused(
                send(make_service_request(midlands_key, "stock", "x", std::string(200, 'k'))), 400, 303);
            auto request = make_completion_request(midlands_key, "swatch", "x", 1, false);
            request.headers.push_back({"Tanager-Deadline-Ms", "soon"});
            assert_refused(send(request), 400, 303);
        });
        section("a body over the bound is refused before it is read", [&] {
            raw_tcp_client flood(entry);
            CPPUNIT_ASSERT(
                flood.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 104857600\r\n\r\n"));
            CPPUNIT_ASSERT(flood.receive_until("\r\n\r\n").starts_with("HTTP/1.1 413"));
        });
        section("nothing of all this reached a backend server", [&] {
            const auto runs = place.caller.get(place.backend_address("m1"), "/runs");
            CPPUNIT_ASSERT(runs.body.find("\"started\":0") != std::string::npos);
        });
        place.check_invariants();
    }

    void misbehaving_sockets_harm_nobody_else()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", {}}});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        section("a header flood", [&] {
            raw_tcp_client flood(entry);
            flood.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\n");
            for (int i = 0; i < 5'000 && flood.send("X-Flood-" + std::to_string(i) + ": " +
                                                    std::string(100, 'f') + "\r\n");
                 ++i) {
            }
            const auto answer = flood.receive_until("\r\n\r\n");
            CPPUNIT_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 4"));
        });
        section("no HTTP at all", [&] {
            raw_tcp_client garbage(entry);
            garbage.send(std::string("\x00\x01\x02\x03garbage\r\n\r\n", 15));
            const auto answer = garbage.receive_until("\r\n\r\n");
            CPPUNIT_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 4"));
        });
        section("half a request, then silence on the sending side", [&] {
            raw_tcp_client half(entry);
            half.send("POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\n{\"model\"");
            half.shutdown_send();
            CPPUNIT_ASSERT(half.receive_until("never").find("200 OK") == std::string::npos);
        });
        section("pipelined requests are answered in order", [&] {
            raw_tcp_client pipelined(entry);
            pipelined.send(
                "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\nGET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n");
            const auto answers = pipelined.receive_until("308");
            CPPUNIT_ASSERT(answers.find("200 OK") < answers.find("404"));
        });
        section("others are served as before", [&] {
            const auto reply = place.caller.fetch(
                entry, make_completion_request(midlands_key, "swatch", "still?", 3, false));
            CPPUNIT_ASSERT_EQUAL(standin::expected_completion("still?", 3), completion_text(reply));
        });
        place.check_invariants();
    }

    void connections_are_bounded()
    {
        constexpr std::size_t descriptor_bound = 80;
        constexpr std::size_t connections = 100;
        test_cluster place;
        place.start_agents({{"m1", "helper", {}}});
        place.start_entry("e1", "descriptors = " + std::to_string(descriptor_bound) + "\n");
        const auto open_descriptors = [&] {
            const std::filesystem::directory_iterator listed("/proc/" +
                                                             std::to_string(place.entry("e1").id()) + "/fd");
            return static_cast<std::size_t>(std::distance(begin(listed), end(listed)));
        };
        std::vector<std::unique_ptr<raw_tcp_client>> idle;
        for (std::size_t i = 0; i < connections; ++i) {
            idle.push_back(std::make_unique<raw_tcp_client>(place.entry_address("e1")));
        }
        place.caller.run_until([&] { return open_descriptors() >= descriptor_bound; });
        section("the rest waits outside",
                [&] { CPPUNIT_ASSERT(open_descriptors() <= descriptor_bound + 8); });
        section("and is served when others have left", [&] {
            const auto answer =
                place.caller.start(place.entry_address("e1"),
                                   make_completion_request(midlands_key, "swatch", "patient", 2, false));
            idle.clear();
            place.caller.run_until([&] { return answer->is_settled(); });
            CPPUNIT_ASSERT_EQUAL(standin::expected_completion("patient", 2), completion_text(*answer->reply));
        });
        place.check_invariants();
    }

    void a_bad_engine_is_not_believed()
    {
        test_cluster place;
        place.start_agents({{"m1", "helper", {}}, {"m2", "helper", {}}});
        place.start_entry("e1");
        const auto entry = place.entry_address("e1");
        for (const std::string fault : {"garbage", "error"}) {
            for (const bool stream : {false, true}) {
                section(fault + (stream ? " in a stream" : " in an answer"), [&] {
                    place.caller.post(place.backend_address("m1"), "/faults?" + fault + "=1");
                    place.caller.post(place.backend_address("m2"), "/faults?" + fault + "=1");
                    const auto reply = place.caller.fetch(
                        entry, make_completion_request(midlands_key, "swatch", "again", 3, stream));
                    // Each engine fails once; the retry on the second may meet its fault, too.
                    const bool is_whole = completion_text(reply) == standin::expected_completion("again", 3);
                    CPPUNIT_ASSERT(is_whole || reply.status == 502);
                    CPPUNIT_ASSERT(reply.body.find("no answer\n") == std::string::npos);
                    place.caller.post(place.backend_address("m1"), "/faults?" + fault + "=0");
                    place.caller.post(place.backend_address("m2"), "/faults?" + fault + "=0");
                });
            }
        }
        section("one bad engine beside a good one goes unnoticed", [&] {
            place.caller.post(place.backend_address("m1"), "/faults?garbage=1000");
            for (int i = 0; i < 10; ++i) {
                const auto prompt = "prompt " + std::to_string(i);
                const auto reply = place.caller.fetch(
                    entry, make_completion_request(midlands_key, "swatch", prompt, 3, true));
                CPPUNIT_ASSERT_EQUAL(standin::expected_completion(prompt, 3), completion_text(reply));
            }
        });
        place.check_invariants();
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
