// A large configuration changes while the store turns one gateway away for 9 s.
#pragma once

#include "site.h"

namespace review3 {

struct large_configuration {
    double link_megabits; // of the gateway that is turned away
    int added_routes;     // `big_config`
    int changes;
    ms change_interval;
};

// The figures of the sheet of demands/registo-aberto-grown.
constexpr ms apply_time{3'000};   // `configApplyMs`
constexpr ms contact_time{4'000}; // `contactMs`
constexpr ms away_time{9'000};    // `platform_down` "nodes"
constexpr ms stretch_time{6'000}; // `maxStretchMs`, although the store is stable by then
constexpr ms observed_time{2'500};
constexpr ms request_interval{100};

inline json make_configuration(int version, const std::string& service, int added_routes)
{
    json routes{make_route("submit", "non_idempotent", service)};
    for (int number = 0; number < added_routes; ++number) {
        routes.push_back(make_route("added" + std::to_string(number), "idempotent", "registry-api"));
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "registry-api"}}, {{"name", "registry-next"}}}},
            {"limits",
             {{"maxHeaderBytes", 16'384},
              {"maxBodyBytes", 4'194'304},
              {"headerTimeoutMs", 5'000},
              {"idleTimeoutMs", 10'000}}}};
}

inline int submit(journal& log, const gateway& asked, const std::string& id)
{
    return ask(log,
               asked.address(),
               "POST /submit/1",
               {{"Host", "bank.example"}, {"Attempt-Id", id}, {"Deadline-Ms", "600"}},
               "package");
}

inline json settings_of(const std::string& store_address, double megabits)
{
    auto settings = settings_of_demands(store_address);
    settings["limits"]["linkMbps"] = megabits;
    settings["bounds"]["failClosed"] = false;
    return settings;
}

inline verdict
play_large_configuration(journal& log, const std::filesystem::path& folder, const large_configuration& played)
{
    store platform(log);
    backend before(log, "i-before", "registry-api");
    backend after(log, "i-after", "registry-next");
    platform.write("servers", before.name(), before.entry());
    platform.write("servers", after.name(), after.entry());
    platform.write("config", "main", make_configuration(1, "registry-api", played.added_routes));
    gateway small(
        log, "front-small", settings_of(platform.open_entrance("front-small"), played.link_megabits), folder);
    gateway large(log, "front-large", settings_of(platform.open_entrance("front-large"), 200), folder);
    platform.limit_link("front-small", played.link_megabits);
    platform.limit_link("front-large", 200);
    gateway third(log, "front-third", settings_of(platform.open_entrance("front-third"), 200), folder);
    small.start();
    large.start();
    third.start();
    if (!small.wait_until_ready(ms(10'000)) || !large.wait_until_ready(ms(10'000)) ||
        !third.wait_until_ready(ms(10'000))) {
        return could_not_run;
    }
    pause_for(ms(4'000));
    if (submit(log, small, "before-small") != 200 || submit(log, large, "before-large") != 200) {
        return could_not_run;
    }

    const auto away_from = steady::now();
    if (with_trouble()) {
        platform.turn_away("front-small", true);
        log.line("the store turns front-small away");
    }
    for (int change = 1; change <= played.changes; ++change) {
        pause_for(played.change_interval);
        platform.write("config",
                       "main",
                       make_configuration(
                           1 + change, change == 1 ? "registry-api" : "registry-next", played.added_routes));
    }
    const auto acknowledged_at = steady::now();
    std::this_thread::sleep_until(away_from + away_time);
    if (with_trouble()) {
        platform.turn_away("front-small", false);
        log.line("the store serves front-small again");
    }
    const auto observed_from =
        std::max(acknowledged_at + apply_time + stretch_time, away_from + away_time + contact_time);
    std::this_thread::sleep_until(observed_from + ms(100));
    for (int number = 0; steady::now() < observed_from + observed_time; ++number) {
        submit(log, small, "late-small-" + std::to_string(number));
        submit(log, large, "late-large-" + std::to_string(number));
        pause_for(request_interval);
    }

    std::size_t old_runs = 0;
    for (const auto& began : before.runs()) {
        old_runs += began.id.starts_with("late-") ? 1 : 0;
    }
    std::size_t new_runs = 0;
    for (const auto& began : after.runs()) {
        new_runs += began.id.starts_with("late-") ? 1 : 0;
    }
    log.line("of the requests sent more than 4 s after the store's return, and more than 9 s after the "
             "acknowledgement of the last version, " +
             std::to_string(old_runs) + " were run by the old service, " + std::to_string(new_runs) +
             " by the new one");
    if (new_runs == 0) {
        return could_not_run;
    }
    return old_runs > 0 ? broken : held;
}

} // namespace review3
