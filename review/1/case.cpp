// A stream breaks, and the server that resumes it fails: does the caller see the stream as complete?
#include "../support/event_stream.h"

namespace {

using namespace review; // NOLINT(google-build-using-namespace)

constexpr std::uint64_t event_count = 6;
constexpr std::uint64_t events_before_crash = 3;
constexpr int request_count = 10;
constexpr int status_ok = 200;
constexpr int status_failed = 500;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"draft","host":"shop.example","pathPrefix":"/draft/","kind":"streaming",)"
    R"("resumable":true,"service":"desk","timeoutMs":8000,"targetLatencyMs":300,"targetGapMs":200,)"
    R"("maxAttempts":2,"priority":1}],"services":[{"name":"desk","healthPath":"/healthz"}],"limits":{}})";

verdict play(test_case& test)
{
    const auto serve = [&test](backend_server& server, connection& peer, const http_message& request) {
        server.begin_run(request);
        if (request.header("Last-Event-Id")) {
            test.record.write(server.id(), "fails");
            return peer.send(make_response(status_failed, answer_headers(request), "failed\n"));
        }
        peer.send(start_of_stream(request));
        const auto id = request.header_or("Attempt-Id", {});
        for (auto number = first_event_number(request); number <= event_count; ++number) {
            if (test.has_trouble && number > events_before_crash) {
                const auto event = make_event(id, number);
                peer.send(make_chunk(event.substr(0, event.size() / 2)));
                test.record.write(server.id(), "breaks off inside event " + std::to_string(number));
                return false;
            }
            peer.send(make_chunk(make_event(id, number)));
        }
        return peer.send(end_of_stream());
    };
    test.add_server("desk", "i-1", serve);
    test.add_server("desk", "i-2", serve);
    test.store.put("config/main", configuration);
    const auto gateway = test.start_gateway();
    bool is_broken = false;
    int answered = 0;
    for (int number = 1; number <= request_count; ++number) {
        const auto id = "draft-" + std::to_string(number);
        const auto result = fetch_stream(gateway, "/draft/1", id);
        const bool in_order = is_in_order(result, id, event_count);
        test.record.write("caller",
                          id + " gets status " + std::to_string(result.status) +
                              (result.is_complete ? ", complete, " : ", cut, ") +
                              std::to_string(result.body.size()) + " bytes" +
                              (in_order ? "" : ": ORDER is broken"));
        answered += result.status == status_ok ? 1 : 0;
        is_broken = is_broken || !in_order;
    }
    if (answered == 0) {
        return verdict::not_run;
    }
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return review::run_case(argc, argv, play);
}
