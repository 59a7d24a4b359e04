// Streams break with their servers, and one of the servers that resume them fails part of its requests: do
// callers see such a stream as complete?
#include "../support/stream_fleet.h"

#include <thread>

namespace {

using namespace review; // NOLINT(google-build-using-namespace)

// Two of eight servers crash at a time, and one fails part of its requests: shares of 0.25 and 0.125.
constexpr fleet_settings fleet{8, 32, 6, std::chrono::milliseconds{60}};
constexpr double failing_share = 0.45;
constexpr int crash_count = 30;
constexpr std::chrono::milliseconds down_time{2'000};
constexpr std::chrono::milliseconds up_time{800};
constexpr std::chrono::milliseconds lead_of_failures{50};

const std::string configuration =
    R"({"version":1,"routes":[{"name":"draft","host":"shop.example","pathPrefix":"/draft/","kind":"streaming",)"
    R"("resumable":true,"service":"desk","timeoutMs":8000,"targetLatencyMs":300,"targetGapMs":200,)"
    R"("maxAttempts":2,"priority":1}],"services":[{"name":"desk","healthPath":"/healthz"}],"limits":{}})";

std::string id_of(int number)
{
    return "i-" + std::to_string(number % fleet.servers + 1);
}

verdict play(test_case& test)
{
    static stream_fleet servers(test, fleet, stream_fault::break_off);
    servers.start_servers();
    test.store.put("config/main", configuration);
    const auto gateway = test.start_gateway();
    std::thread crashes([&test] {
        for (int crash = 0; crash < crash_count; ++crash) {
            std::this_thread::sleep_for(up_time);
            servers.set_failing(id_of(3 * crash), test.has_trouble ? failing_share : 0);
            std::this_thread::sleep_for(lead_of_failures);
            if (test.has_trouble) {
                servers.set_in_trouble({id_of(3 * crash + 1), id_of(3 * crash + 2)});
            }
            std::this_thread::sleep_for(down_time);
            servers.set_in_trouble({});
            servers.set_failing({}, 0);
        }
    });
    servers.run_callers(gateway, crash_count * (up_time + lead_of_failures + down_time));
    crashes.join();
    test.record.write("case",
                      std::to_string(servers.broken_streams()) + " streams break ORDER, " +
                          std::to_string(servers.complete_streams()) + " are whole");
    if (servers.complete_streams() == 0) {
        return verdict::not_run;
    }
    return servers.broken_streams() > 0 ? verdict::broken : verdict::held;
}

} // namespace

int main(int argc, char** argv)
{
    return review::run_case(argc, argv, play);
}
