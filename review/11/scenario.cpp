// A gateway that can't catch up with a large configuration does not learn that servers leave.
#include "../support-3/site.h"

#include <algorithm>

using namespace review3;

namespace {

// The figures of the sheet of demands/registo-aberto-grown.
constexpr ms contact_time{4'000};    // `contactMs`
constexpr ms drain_time{3'000};      // `drainMs`
constexpr ms away_time{9'000};       // `platform_down` "nodes"
constexpr double link_megabits = 10; // of 12 of the 22 `front` machines
constexpr int added_routes = 1'400;  // `big_config`
constexpr int changes = 6;           // `config_change`
constexpr ms change_interval{1'200};
// Servers serve on for `drainMs` "and a little longer (at times many seconds)".
constexpr ms lingering_time{3'300};
constexpr ms work_time{200}; // 220 at most in the site file

json make_configuration(int version)
{
    json routes{make_route("submit", "non_idempotent", "registry-api")};
    routes[0]["timeoutMs"] = 1'200;
    for (int number = 0; number < added_routes; ++number) {
        auto added = make_route("added" + std::to_string(number), "idempotent", "registry-api");
        added["timeoutMs"] = 600 + version;
        routes.push_back(added);
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "registry-api"}}}},
            {"limits",
             {{"maxHeaderBytes", 16'384},
              {"maxBodyBytes", 4'194'304},
              {"headerTimeoutMs", 5'000},
              {"idleTimeoutMs", 10'000}}}};
}

json settings_of(const std::string& store_address, const std::string& zone)
{
    auto settings = settings_of_demands(store_address);
    settings["zone"] = zone;
    settings["limits"]["linkMbps"] = link_megabits;
    settings["bounds"]["failClosed"] = false;
    return settings;
}

verdict play(journal& log, const std::filesystem::path& folder)
{
    store platform(log);
    std::vector<std::unique_ptr<backend>> servers;
    for (int number = 1; number <= 4; ++number) {
        servers.push_back(
            std::make_unique<backend>(log, "i-" + std::to_string(number), "registry-api", work_time));
        platform.write("servers", servers.back()->name(), servers.back()->entry());
    }
    platform.write("config", "main", make_configuration(1));
    gateway lone(log, "front-b", settings_of(platform.open_entrance("front-b"), "zone-b"), folder);
    gateway other(log, "front-a", settings_of(platform.open_entrance("front-a"), "zone-a"), folder);
    platform.limit_link("front-b", link_megabits);
    gateway third(log, "front-c", settings_of(platform.open_entrance("front-c"), "zone-a"), folder);
    lone.start();
    other.start();
    third.start();
    if (!lone.wait_until_ready(ms(10'000)) || !other.wait_until_ready(ms(10'000)) ||
        !third.wait_until_ready(ms(10'000))) {
        return could_not_run;
    }
    pause_for(ms(4'000));
    const auto away_from = steady::now();
    if (with_trouble()) {
        platform.turn_away("front-b", true);
        log.line("the store turns front-b away");
    }
    for (int change = 1; change <= changes; ++change) {
        pause_for(change_interval);
        platform.write("config", "main", make_configuration(1 + change));
    }
    std::this_thread::sleep_until(away_from + away_time);
    if (with_trouble()) {
        platform.turn_away("front-b", false);
        log.line("the store serves front-b again");
    }
    pause_for(contact_time + ms(100));
    // One of four servers leaves without a report: its entry is removed.
    servers[0]->leave();
    platform.write("servers", "i-1", std::nullopt);
    const auto removed_at = steady::now();
    std::this_thread::sleep_until(removed_at + drain_time + ms(200));
    const auto late_from = log.now();
    std::vector<std::thread> callers;
    std::vector<int> statuses(8);
    for (std::size_t number = 0; number < statuses.size(); ++number) {
        callers.emplace_back([&, number] {
            statuses[number] = ask(log,
                                   (number % 2 == 0 ? lone : other).address(),
                                   "POST /submit/1",
                                   {{"Host", "bank.example"},
                                    {"Attempt-Id", "late-" + std::to_string(number)},
                                    {"Deadline-Ms", "2500"}},
                                   "package " + std::to_string(number),
                                   ms(5'000));
        });
    }
    std::this_thread::sleep_until(removed_at + lingering_time);
    std::size_t late_runs = 0;
    for (const auto& began : servers[0]->runs()) {
        late_runs += began.at >= late_from ? 1 : 0;
    }
    servers[0]->exit();
    log.line("i-1 exits");
    for (auto& caller : callers) {
        caller.join();
    }
    const auto lost =
        std::count_if(statuses.begin(), statuses.end(), [](int status) { return status != 200; });
    log.line(std::to_string(late_runs) + " orders reached the server that had left, more than " +
             std::to_string(drain_time.count()) + " ms after the store removed it; " + std::to_string(lost) +
             " orders got no answer of a server");
    return late_runs > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, play);
}
