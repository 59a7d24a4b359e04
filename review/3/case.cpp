// A prefill engine sends a second copy of an earlier answer where the next answer is due: does a request go
// on from the KV cache of another request?
#include "../support/event_stream.h"

#include <map>
#include <thread>

namespace {

using namespace review; // NOLINT(google-build-using-namespace)

constexpr std::uint64_t event_count = 3;
constexpr int pair_count = 3;
// Ordinary requests before each pair, so that less than 0.03 of the engine's answers are sent twice.
constexpr int ordinary_count = 34;
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr std::chrono::milliseconds prefill_time{5};
constexpr std::chrono::milliseconds queue_time{250};
constexpr std::chrono::milliseconds between_requests{100};
constexpr std::chrono::seconds caller_timeout{3};

const std::string configuration =
    R"({"version":1,"routes":[{"name":"match","host":"shop.example","pathPrefix":"/match/","kind":"streaming",)"
    R"("resumable":false,"service":"llm","timeoutMs":2000,"targetLatencyMs":200,"targetGapMs":200,"sticky":true,)"
    R"("maxAttempts":1,"priority":0}],"services":[{"name":"llm","healthPath":"/healthz",)"
    R"("engine":{"slots":6,"kvCapacityTokens":1400000,"handleTtlS":5.0}}],"limits":{}})";

// The KV caches that the prefill engine keeps, by handle, with the request that each belongs to.
class kept_caches {
public:
    std::string add(const std::string& request_id)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        auto handle = "h" + std::to_string(++this->last);
        this->owners[handle] = request_id;
        return handle;
    }

    // Returns the request that a cache belongs to, or nothing if it is gone; a cache is taken once.
    std::optional<std::string> take(const std::string& handle)
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        const auto found = this->owners.extract(handle);
        return found.empty() ? std::nullopt : std::optional{found.mapped()};
    }

private:
    std::mutex mutex;
    std::uint64_t last = 0;
    std::map<std::string, std::string> owners;
};

std::string prefill_answer(const std::string& request_id, const std::string& handle)
{
    return make_response(status_ok,
                         "Attempt-Id: " + request_id + "\r\nContent-Type: application/json\r\n",
                         R"({"handle":")" + handle + R"(","tokens":3000,"version":1})");
}

void send_prompt(test_case& test, const std::string& gateway, const std::string& id)
{
    const auto peer = connection::open(gateway);
    if (peer == nullptr) {
        return;
    }
    peer->set_receive_timeout(caller_timeout);
    peer->send("POST /match/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id +
               "\r\nDeadline-Ms: 2000\r\nModel: m\r\nToken-Count: 5000,2\r\nPrompt-Prefix: a1:2000," + "ff" +
               id.substr(id.find('-') + 1) + ":3000\r\nContent-Length: 3\r\n\r\ngel");
    bool is_complete = false;
    const auto response = peer->read_response(is_complete);
    test.record.write(
        "caller", id + (response ? " gets status " + std::to_string(response->status()) : " gets no answer"));
}

verdict play(test_case& test)
{
    static kept_caches caches;
    static std::atomic<int> runs = 0;
    static std::atomic<int> foreign_runs = 0;
    const auto prefill = [&test](backend_server& server, connection& peer, const http_message& request) {
        static std::string earlier_answer; // the prompts come one after the other
        const auto id = request.header_or("Attempt-Id", {});
        if (request.method() == "DELETE") {
            caches.take(request.path().substr(request.path().rfind('/') + 1));
            return peer.send(make_response(status_ok, {}, {}));
        }
        if (request.header_or("Stage", {}) != "prefill") {
            return peer.send(make_response(status_ok, "Content-Type: application/json\r\n", "{}"));
        }
        const auto handle = caches.add(id);
        const auto answer = prefill_answer(id, handle);
        test.record.write(server.id(), "reads the prompt of " + id + ", handle " + handle);
        if (test.has_trouble && id.ends_with("b") && !earlier_answer.empty()) {
            test.record.write(server.id(), "sends a second copy of the answer before");
            peer.send(earlier_answer);
        }
        std::this_thread::sleep_for(prefill_time);
        earlier_answer = answer;
        return peer.send(answer);
    };
    const auto decode = [&test](backend_server& server, connection& peer, const http_message& request) {
        const auto id = request.header_or("Attempt-Id", {});
        const auto source = request.header_or("Kv-Source", {});
        if (request.method() != "POST" || request.path() == "/order") {
            return peer.send(make_response(status_ok, "Content-Type: application/json\r\n", "{}"));
        }
        test.record.write(server.id(), "gets " + id + " with Kv-Source " + source);
        if (id.ends_with("a")) {
            // The requests of other gateways hold all slots.
            std::this_thread::sleep_for(queue_time);
        }
        if (!source.empty()) {
            const auto owner = caches.take(source.substr(source.rfind('/') + 1));
            if (!owner) {
                test.record.write(server.id(), "does not run " + id + ": the cache is gone");
                return peer.send(make_response(status_unavailable, "Not-Executed: 1\r\n", {}));
            }
            if (*owner != id) {
                test.record.write(server.id(),
                                  "MIXED is broken: " + id + " goes on from the cache of " + *owner);
                ++foreign_runs;
            }
        }
        ++runs;
        server.begin_run(request);
        peer.send(start_of_stream(request));
        for (std::uint64_t number = 1; number <= event_count; ++number) {
            peer.send(make_chunk(make_event(id, number)));
        }
        return peer.send(end_of_stream());
    };
    test.add_server("llm", "i-prefill", prefill, R"(,"stage":"prefill","models":[{"name":"m","version":1}])");
    for (const auto* const id : {"i-decode-1", "i-decode-2"}) {
        test.add_server("llm", id, decode, R"(,"stage":"decode","models":[{"name":"m","version":1}])");
    }
    test.store.put("config/main", configuration);
    const auto gateway = test.start_gateway();
    for (int number = 1; number <= pair_count; ++number) {
        for (int ordinary = 1; ordinary <= ordinary_count; ++ordinary) {
            send_prompt(test,
                        gateway,
                        "match-" + std::to_string(number * 100 + ordinary) + "c"); // NOLINT(*-magic-numbers)
        }
        std::thread first([&] { send_prompt(test, gateway, "match-" + std::to_string(number) + "a"); });
        std::this_thread::sleep_for(between_requests);
        std::thread second([&] { send_prompt(test, gateway, "match-" + std::to_string(number) + "b"); });
        first.join();
        second.join();
    }
    if (runs == 0) {
        return verdict::not_run;
    }
    return foreign_runs > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return review::run_case(argc, argv, play);
}
