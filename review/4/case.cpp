// A server stops in the middle of an event and stays silent, and another server resumes the stream: does the
// caller get the pieces of both joined?
#include "../support/event_stream.h"

#include <thread>

namespace {

using namespace review; // NOLINT(google-build-using-namespace)

constexpr std::uint64_t event_count = 6;
constexpr std::uint64_t last_whole_event = 2;
constexpr int request_count = 4;
constexpr int status_ok = 200;
constexpr std::chrono::seconds silence{6};

const std::string configuration =
    R"({"version":1,"routes":[{"name":"draft","host":"shop.example","pathPrefix":"/draft/","kind":"streaming",)"
    R"("resumable":true,"service":"desk","timeoutMs":8000,"targetLatencyMs":300,"targetGapMs":200,)"
    R"("maxAttempts":2,"priority":1}],"services":[{"name":"desk","healthPath":"/healthz"}],"limits":{}})";

verdict play(test_case& test)
{
    const auto serve = [&test](backend_server& server, connection& peer, const http_message& request) {
        server.begin_run(request);
        peer.send(start_of_stream(request));
        const auto id = request.header_or("Attempt-Id", {});
        const bool stops = test.has_trouble && !request.header("Last-Event-Id");
        for (auto number = first_event_number(request); number <= event_count; ++number) {
            const auto event = make_event(id, number);
            if (stops && number > last_whole_event) {
                peer.send(make_chunk(event.substr(0, event.size() / 2)));
                test.record.write(server.id(), "stops inside event " + std::to_string(number));
                peer.wait_for_input(silence);
                test.record.write(server.id(), "sees the connection closed");
                return false;
            }
            peer.send(make_chunk(event));
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
        const auto result = fetch_stream(gateway, "/draft/" + std::to_string(number), id);
        const bool in_order = is_in_order(result, id, event_count);
        test.record.write("caller",
                          id + " gets status " + std::to_string(result.status) +
                              (result.is_complete ? ", complete" : ", cut") +
                              (in_order ? "" : ": ORDER is broken, the bytes are\n" + result.body));
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
