// A server stops in the middle of an event and stays silent, and another server resumes the stream: does the
// caller get the pieces of both joined?
#include "../support/stream_fleet.h"

#include <thread>

namespace {

using namespace review; // NOLINT(google-build-using-namespace)

// One of six servers goes dark: a share of 0.17.
constexpr fleet_settings fleet{6, 12, 10, std::chrono::milliseconds{60}};
constexpr int dark_count = 2;
constexpr std::chrono::milliseconds dark_time{5'000};
constexpr std::chrono::milliseconds sound_time{2'000};

const std::string configuration =
    R"({"version":1,"routes":[{"name":"draft","host":"shop.example","pathPrefix":"/draft/","kind":"streaming",)"
    R"("resumable":true,"service":"desk","timeoutMs":8000,"targetLatencyMs":300,"targetGapMs":200,)"
    R"("maxAttempts":2,"priority":1}],"services":[{"name":"desk","healthPath":"/healthz"}],"limits":{}})";

verdict play(test_case& test)
{
    static stream_fleet servers(test, fleet, stream_fault::stay_silent);
    servers.start_servers();
    test.store.put("config/main", configuration);
    const auto gateway = test.start_gateway();
    std::thread darkness([&test] {
        for (int time = 1; time <= dark_count; ++time) {
            std::this_thread::sleep_for(sound_time);
            if (test.has_trouble) {
                servers.set_in_trouble({"i-" + std::to_string(time)});
            }
            std::this_thread::sleep_for(dark_time);
            servers.set_in_trouble({});
        }
    });
    servers.run_callers(gateway, dark_count * (sound_time + dark_time));
    darkness.join();
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
