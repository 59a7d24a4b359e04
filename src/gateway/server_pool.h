// Everything this process believes of the backend servers, and what it has running on each.
#pragma once

#include "fleet/outlier_detector.h"
#include "fleet/prefill_interference_monitor.h"
#include "fleet/prefill_latency_model.h"
#include "fleet/prefix_cache_index.h"
#include "fleet/server_list.h"
#include "placement/types/placement_candidate.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// What this process has on one server.
struct load_counts {
    std::uint32_t running_requests = 0;       // requests
    std::uint32_t pending_prefill_tokens = 0; // prompt tokens that the server has still to read
    std::uint32_t long_outputs = 0;           // of the requests, those with long outputs

    friend bool operator==(const load_counts&, const load_counts&) = default;
};

// What the other gateways have on each server.
class peer_load_view {
public:
    peer_load_view() = default;
    peer_load_view(const peer_load_view&) = delete;
    peer_load_view& operator=(const peer_load_view&) = delete;
    peer_load_view(peer_load_view&&) = delete;
    peer_load_view& operator=(peer_load_view&&) = delete;
    virtual ~peer_load_view() = default;

    virtual load_counts load_of(const std::string& server_id) const = 0;

    // Returns the prompts of a service that came to them in their last second.
    virtual std::uint32_t prompts_per_second(const std::string& service) const = 0;

    // Returns whether one of them has seen prompts make the streams of a service pause for too long.
    virtual bool should_isolate_long_outputs(const std::string& service) const = 0;

    // Returns how old what they said may be.
    virtual duration report_age() const = 0;

    // Returns whether the role of an engine is being changed by any gateway.
    virtual bool is_changing_role(const std::string& server_id) const = 0;
};

class server_pool {
public:
    server_pool(const clock& time,
                std::string data_centre,
                duration store_recovery_grace,
                const peer_load_view& peers);

    server_list& servers();

    // Returns the servers of a service that take work, as a prompt with that shared part sees them; those in
    // `tried` are marked.
    std::vector<placement_candidate> candidates(const std::string& service,
                                                std::uint64_t prefix_key,
                                                const std::vector<std::string>& tried) const;

    // Returns the prompts of a service that came to the other gateways in their last second.
    std::uint32_t peer_prompts_per_second(const std::string& service) const;

    // Returns how old what the other gateways said may be.
    duration peer_report_age() const;

    // Returns what all gateways have on a server, as far as this one knows.
    load_counts total_load(const std::string& server_id) const;

    // Counts a request on a server, and takes it off.
    void begin_request(const std::string& server_id, bool has_long_output);
    void end_request(const std::string& server_id, bool has_long_output);

    // Counts prompt tokens that a server is to read, and takes them off. `begin_prefill` returns the tokens
    // that all gateways have given it to read by then.
    std::uint64_t begin_prefill(const std::string& server_id, std::uint64_t prefix_key, std::uint32_t tokens);
    void end_prefill(const std::string& server_id, std::uint32_t tokens);

    // Learns from the time to a server's first answer, with the tokens that were to be read before it.
    void record_prefill_time(const backend_server& server, std::uint64_t tokens, duration elapsed);

    // Returns what a prefill engine of the service takes for a prompt token; where there is none, what a
    // decode engine takes, divided by `speed_up`.
    double prefill_token_milliseconds(const std::string& service, double speed_up) const;

    // Learns from the pause between two events of a stream, as a share of its objective. A long output has
    // used `time_used` of its route's time.
    void record_event_gap(const backend_server& server, double gap_ratio, double used_timeout_ratio);

    // Returns whether an engine has sent an event of any stream here after this moment.
    bool has_sent_event_since(const std::string& server_id, time_point moment) const;

    // Returns whether the streams that came through here paused too long beside prompts.
    bool should_isolate_long_outputs(const std::string& service) const;

    // Learns from what one request says of its server.
    void record_outcome(const std::string& server_id, server_outcome outcome);

    // Drops what was learned of servers that have gone, whose ids never come back.
    void remove_unlisted();

    const std::map<std::string, load_counts>& local_loads() const;

    // Called after each change of the loads.
    void set_load_change_callback(std::function<void()> callback);

private:
    void drop_if_idle(const std::string& server_id);

    std::string data_centre;
    server_list server_directory;
    outlier_detector outliers;
    prefill_latency_model prefill_latency;
    prefill_interference_monitor prefill_interference;
    prefix_cache_index cached_prefixes;
    const peer_load_view& peers;
    std::map<std::string, load_counts> local_loads_by_server;
    std::function<void()> load_change_callback = [] {
    };
};

} // namespace tanager
