// Draws faults from a seed, and ends them again.
#pragma once

#include "soak/soak_cluster.h"
#include "soak/traffic_generator.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace tanager::soak {

// Faults strike from outside the programs only: by signals, by proxies and by what the platform's store and
// its operators do. They come in series and overlap. Half of the time nothing unplanned happens, so that
// planned stops and leaving servers are seen on their own, too.
class fault_plan {
public:
    fault_plan(unsigned seed, soak_site& site, callers& traffic, soak_record& record);

    // Does what is due. Called between two turns of the loop, never within one.
    void act();

    // Ends every fault and waits for nothing; `act` must go on until `is_quiet`.
    void heal();
    bool is_quiet() const;

    // Returns how often each kind of fault struck.
    const std::map<std::string, unsigned>& strikes() const;

private:
    using step = std::function<void()>;

    void later(duration delay, step work);
    duration draw(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
    template <class list_type>
    const typename list_type::value_type& pick(const list_type& list);

    void strike();
    void strike_planned(unsigned draw);
    void strike_unplanned(unsigned draw);

    // Marks a span as disturbed, runs `begin`, and runs `end` after a drawn time.
    void disturb(const std::string& kind, const step& begin, const step& end);
    void post_fault(const std::string& address, const std::string& faults);

    void note_unexpected_ends();
    void stop_gateway(const std::string& host);
    void kill_gateway(const std::string& host);
    void pause_gateway(const std::string& host);
    void await_end(const std::string& host);
    void restart_later(const std::string& host, duration delay);
    void server_leaves();
    void server_ends(const std::string& id);
    void replace_server(const std::string& id);
    void server_crashes();
    void server_misbehaves();
    void change_configuration();
    bool is_store_well() const;
    bool is_busy(const std::string& target) const;

    std::mt19937 random;
    soak_site& site;
    callers& traffic;
    soak_record& record;
    std::multimap<time_point, step> due;
    std::map<std::string, unsigned> counts;
    std::map<std::string, bool> busy; // gateways and servers under a fault that must end first
    unsigned store_faults = 0;
    unsigned routes = 0;
    bool is_healing = false;
    time_point calm_until;
    bool is_calm_phase = true;
};

} // namespace tanager::soak
