// Injects faults and planned operations that are drawn from a seed.
#pragma once

#include "soak/soak_cluster.h"
#include "soak/traffic_generator.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace tanager::soak {

// Faults are injected only from outside the programs: by signals, by proxies, by the platform's store and by
// its operators. They come in series and overlap. About half of the time no fault is injected, so that
// planned stops and draining servers are also tested on their own.
class fault_injector {
public:
    fault_injector(unsigned seed, soak_cluster& cluster, traffic_generator& traffic, soak_record& record);

    // Runs the actions that are due. Must be called between two iterations of the event loop, never from one
    // of its callbacks.
    void run_due_actions();

    // Starts no further faults and returns at once. Active faults end at their scheduled times: keep calling
    // `run_due_actions` until `is_idle` returns true.
    void stop_injecting();
    bool is_idle() const;

    // Returns how often each kind of fault or planned operation was injected.
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

    // Records a fault interval, runs `begin`, and runs `end` after a random time.
    void inject_for_interval(const std::string& kind,
                             const std::string& target,
                             const action& begin,
                             const action& end);
    // Returns what ends the interval.
    action begin_interval(const std::string& target);
    void post_fault(const std::string& address, const std::string& faults);

    void record_unexpected_exits();
    void stop_gateway(const std::string& host);
    void kill_gateway(const std::string& host);
    void pause_gateway(const std::string& host);
    void await_exit(const std::string& host);
    void schedule_restart(const std::string& host, duration delay);
    void drain_server();
    void remove_drained_server(const std::string& id);
    void leave_unlisted();
    void replace_server(const std::string& id);
    void crash_server();
    void inject_server_fault();
    void change_configuration();
    void add_foreign_entry();
    void remove_foreign_entry(const std::string& kind, const std::string& name);
    void limit_store_link();
    void grow_configuration();
    void turn_away_slow_gateway();
    void restore_store();
    bool is_store_healthy() const;
    bool has_active_fault(const std::string& target) const;

    std::mt19937 random;
    std::mt19937 entry_random;   // of the entries of another writer
    std::mt19937 leaving_random; // of the servers that state that they leave
    std::mt19937 link_random;    // of the slow link and the large configuration
    soak_cluster& cluster;
    traffic_generator& traffic;
    soak_record& record;
    std::multimap<time_point, action> scheduled_actions;
    std::map<std::string, unsigned> injected_counts_by_kind;
    std::map<std::string, bool> active_faults; // gateways and servers whose fault must end before the next
    unsigned active_store_faults = 0;
    unsigned last_route_number = 0;
    std::string slow_host; // with the slow link to the store
    bool is_stopping = false;
    time_point phase_ends_at;
    bool is_fault_free_phase = true;
};

} // namespace tanager::soak
