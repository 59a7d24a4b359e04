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
class fault_injector {
public:
    fault_injector(unsigned seed, soak_cluster& cluster, traffic_generator& traffic, soak_record& record);

    // Does what is due. Called between two turns of the loop, never within one.
    void run_due_actions();

    // Ends every fault and waits for nothing; `act` must go on until `is_idle`.
    void stop_injecting();
    bool is_idle() const;

    // Returns how often each kind of fault struck.
    const std::map<std::string, unsigned>& injected_counts() const;

private:
    using action = std::function<void()>;

    void schedule(duration delay, action work);
    duration random_duration(std::chrono::milliseconds min, std::chrono::milliseconds max);
    template <class list_type>
    const typename list_type::value_type& random_element(const list_type& list);

    void inject_next();
    void run_planned_operation(unsigned kind);
    void inject_fault(unsigned kind);

    // Marks a span as disturbed, runs `begin`, and runs `end` after a drawn time.
    void inject_for_interval(const std::string& kind, const action& begin, const action& end);
    void post_fault(const std::string& address, const std::string& faults);

    void record_unexpected_exits();
    void stop_gateway(const std::string& host);
    void kill_gateway(const std::string& host);
    void pause_gateway(const std::string& host);
    void await_exit(const std::string& host);
    void schedule_restart(const std::string& host, duration delay);
    void drain_server();
    void remove_drained_server(const std::string& id);
    void replace_server(const std::string& id);
    void crash_server();
    void inject_server_fault();
    void change_configuration();
    bool is_store_healthy() const;
    bool has_active_fault(const std::string& target) const;

    std::mt19937 random;
    soak_cluster& cluster;
    traffic_generator& traffic;
    soak_record& record;
    std::multimap<time_point, action> scheduled_actions;
    std::map<std::string, unsigned> injected_counts_by_kind;
    std::map<std::string, bool> active_faults; // gateways and servers under a fault that must end first
    unsigned active_store_faults = 0;
    unsigned last_route_number = 0;
    bool is_stopping = false;
    time_point phase_ends_at;
    bool is_fault_free_phase = true;
};

} // namespace tanager::soak
