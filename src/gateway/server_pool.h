// Health, latency and load of the backend servers, as measured by this gateway and reported by its peers.
#pragma once

#include "admission/retry_elsewhere.h"
#include "fleet/misdirection_detector.h"
#include "fleet/outlier_detector.h"
#include "fleet/prefill_interference_monitor.h"
#include "fleet/prefill_latency_model.h"
#include "fleet/prefix_cache_index.h"
#include "fleet/server_list.h"
#include "fleet/server_speed_model.h"
#include "fleet/types/leaving_statement.h"
#include "peers/types/load_report.h"
#include "placement/types/placement_candidate.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanager {

// The load on one server, of one gateway or of several together.
struct load_counts {
    std::uint32_t running_requests = 0;
    std::uint32_t pending_prefill_tokens = 0; // prompt tokens that the server has still to prefill
    std::uint32_t long_outputs = 0;           // running requests with long outputs

    friend bool operator==(const load_counts&, const load_counts&) = default;
};

// The loads that the other gateways report.
class peer_load_view {
public:
    peer_load_view() = default;
    peer_load_view(const peer_load_view&) = delete;
    peer_load_view& operator=(const peer_load_view&) = delete;
    peer_load_view(peer_load_view&&) = delete;
    peer_load_view& operator=(peer_load_view&&) = delete;
    virtual ~peer_load_view() = default;

    // Returns the total load of the other gateways on a server.
    virtual load_counts load_of(const std::string& server_id) const = 0;

    // Returns how many prompts of a service arrived at the other gateways in their last second.
    virtual std::uint32_t prompts_per_second(const std::string& service) const = 0;

    // Returns whether any of them reports prefill interference on the service's streams.
    virtual bool should_isolate_long_outputs(const std::string& service) const = 0;

    // Returns the maximum age of the reports.
    virtual duration report_age() const = 0;

    // Returns the other gateways, and how many of them could pass a prompt to their link within `max_wait`.
    virtual gateways_with_room link_room(duration max_wait) const = 0;

    // Returns whether any gateway is changing the role of an engine.
    virtual bool is_changing_role(const std::string& server_id) const = 0;
};

class server_pool {
public:
    server_pool(const clock& time,
                std::string data_centre,
                duration store_recovery_grace,
                const peer_load_view& peers);

    server_list& servers();

    // Returns the servers of a service that accept requests, with their state for a prompt whose prefix has
    // the given key. Servers in `tried` are marked as tried.
    std::vector<placement_candidate> candidates(const std::string& service,
                                                std::uint64_t prefix_key,
                                                const std::vector<std::string>& tried) const;

    // Returns how many prompts of a service arrived at the other gateways in their last second.
    std::uint32_t peer_prompts_per_second(const std::string& service) const;

    // Returns the maximum age of the other gateways' reports.
    duration peer_report_age() const;

    // Returns the other gateways, and how many of them could pass a prompt to their link within `max_wait`.
    gateways_with_room link_room_of_peers(duration max_wait) const;

    // Returns the load of all gateways on a server: the local load plus the last reports of the others.
    load_counts total_load(const std::string& server_id) const;

    // Add a running request to a server's load, and remove it.
    void begin_request(const std::string& server_id, bool has_long_output);
    void end_request(const std::string& server_id, bool has_long_output);

    // Add prompt tokens to a server's pending prefill tokens, and remove them. `begin_prefill` returns the
    // server's pending prefill tokens of all gateways, including these. From then on the prefix counts as
    // cached there.
    std::uint64_t begin_prefill(const backend_server& server, std::uint64_t prefix_key, std::uint32_t tokens);
    void end_prefill(const std::string& server_id, std::uint32_t tokens);

    // Records that a server has not prefilled a prompt with this prefix after all.
    void forget_prefix(const backend_server& server, std::uint64_t prefix_key);

    // Returns the prefixes that this gateway has recently sent to servers that were not known to have them.
    std::vector<sent_prefix> new_prefixes() const;

    // Records the prefixes that a peer has sent to servers.
    void record_peer_prefixes(const std::vector<sent_prefix>& prefixes);

    // Updates the prefill latency model with the time to a server's first event, and the tokens that the
    // server had to prefill before it.
    void record_prefill_time(const backend_server& server, std::uint64_t tokens, duration elapsed);

    // Returns the prefill time per prompt token of a prefill engine of the service. If the service has none,
    // returns that of a decode engine divided by `speed_up`.
    double prefill_token_milliseconds(const std::string& service, double speed_up) const;

    // Records the gap between two events of a stream, relative to the gap objective. `used_timeout_ratio` is
    // the part of the route's timeout that a long output has used, and 0 for other requests.
    void record_event_gap(const backend_server& server, double gap_ratio, double used_timeout_ratio);

    // Records that `events` of a stream have arrived together, `elapsed` after those before them.
    void record_event_time(const backend_server& server, std::uint64_t events, duration elapsed);

    // Records the gap objective of a route with long outputs, for which the engines' speeds are rated.
    void record_long_output(const std::string& service, std::chrono::milliseconds gap_objective);

    // Rates the decode speed of all engines, for the placements until the next call.
    void rate_speeds();

    // Returns how many engines have been rated so.
    std::size_t count_speed(decode_speed speed) const;

    // Returns the event times that the next load report carries; none most of the time.
    std::vector<server_event_times> take_event_times(std::size_t peer_count);

    // Records the event times that a peer has reported.
    void record_peer_event_times(const std::vector<server_event_times>& reported);

    // Returns whether this gateway has received an event of any stream from the engine since `moment`.
    bool has_sent_event_since(const std::string& server_id, time_point moment) const;

    // Returns whether this gateway has measured prefill interference on the service's streams.
    bool should_isolate_long_outputs(const std::string& service) const;

    // Updates outlier detection with the outcome of one attempt.
    void record_outcome(const std::string& server_id, server_outcome outcome);

    // Updates misdirection detection: a server's address answered an attempt with 421, or accepted it.
    void record_misdirected(const backend_server& server);
    void record_accepted(const std::string& server_id);

    // Takes a server out of use if its answer states that it leaves; `asked` is the one that the request was
    // for. Waiting requests and later ones get other servers.
    void
    record_leaving(const backend_server& asked, leaving_statement statement, answer_kind answer, int status);

    // Sets the function that is called when a server is taken out of use so.
    void set_leaving_callback(std::function<void(answer_kind)> callback);

    // Drops the measurements of servers that are no longer listed. Their ids are never reused.
    void remove_unlisted();

    const std::map<std::string, load_counts>& local_loads() const;

    // Sets the function that is called after each change of the local loads.
    void set_load_change_callback(std::function<void()> callback);

private:
    struct reported_prefix {
        sent_prefix sent;
        time_point sent_at;
    };

    void drop_if_idle(const std::string& server_id);
    std::shared_ptr<const backend_server> find_by_hash(std::uint32_t hash);
    decode_speed speed_of(const std::string& server_id) const;
    void exclude_suspended(std::vector<placement_candidate>& candidates) const;
    void end_suspensions_of_changed_servers();

    const clock& time;
    std::string data_centre;
    server_list server_directory;
    outlier_detector outliers;
    misdirection_detector misdirections;
    std::uint64_t misdirections_generation = 0; // of the list, when changed servers were last looked for
    prefill_latency_model prefill_latency;
    prefill_interference_monitor prefill_interference;
    server_speed_model speeds;
    time_point event_times_taken_at;
    std::map<std::string, decode_speed> speed_ratings; // by server id
    prefix_cache_index cached_prefixes;
    std::deque<reported_prefix> recent_prefixes; // oldest first
    // The servers that take requests, by name_hash, as of a generation of the list.
    std::unordered_map<std::uint32_t, std::shared_ptr<const backend_server>> servers_by_hash;
    std::uint64_t hashed_generation = 0;
    const peer_load_view& peers;
    std::map<std::string, load_counts> local_loads_by_server;
    std::function<void()> load_change_callback = [] {
    };
    std::function<void(answer_kind)> leaving_callback = [](answer_kind) {
    };
};

} // namespace tanager
