// Rejects requests under which backend servers have ended, and those that share what ended them.
#pragma once

#include "base/clock.h"
#include "base/types/result.h"
#include "fleet/types/backend_server.h"
#include "metrics/metrics_registry.h"
#include "quarantine/crash_suspicion_table.h"
#include "quarantine/server_end_detector.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace tanager {

// Tries new connections to backend servers.
class server_connector {
public:
    server_connector() = default;
    server_connector(const server_connector&) = delete;
    server_connector& operator=(const server_connector&) = delete;
    server_connector(server_connector&&) = delete;
    server_connector& operator=(server_connector&&) = delete;
    virtual ~server_connector() = default;

    // Calls back with false if the connection is refused.
    virtual void try_connect(const socket_address& address,
                             std::function<void(bool is_accepted)> callback) = 0;
};

// Sends messages to the other gateways; they may be lost.
class suspicion_channel {
public:
    suspicion_channel() = default;
    suspicion_channel(const suspicion_channel&) = delete;
    suspicion_channel& operator=(const suspicion_channel&) = delete;
    suspicion_channel(suspicion_channel&&) = delete;
    suspicion_channel& operator=(suspicion_channel&&) = delete;
    virtual ~suspicion_channel() = default;

    virtual void send_to_all(const std::string& message) = 0;

    // Sends to a few gateways drawn at random.
    virtual void send_to_some(const std::string& message) = 0;
};

// Is told when traits of requests are quarantined.
class quarantine_listener {
public:
    quarantine_listener() = default;
    quarantine_listener(const quarantine_listener&) = delete;
    quarantine_listener& operator=(const quarantine_listener&) = delete;
    quarantine_listener(quarantine_listener&&) = delete;
    quarantine_listener& operator=(quarantine_listener&&) = delete;
    virtual ~quarantine_listener() = default;

    // Must not call the quarantine.
    virtual void on_trait_quarantined() = 0;
};

// When a change is written.
enum class write_urgency {
    now,
    unless_done_by_others // by the gateway that made the change, or by one of the others that know of it
};

// Keeps quarantines where they outlast the gateways.
class quarantine_recorder {
public:
    quarantine_recorder() = default;
    quarantine_recorder(const quarantine_recorder&) = delete;
    quarantine_recorder& operator=(const quarantine_recorder&) = delete;
    quarantine_recorder(quarantine_recorder&&) = delete;
    quarantine_recorder& operator=(quarantine_recorder&&) = delete;
    virtual ~quarantine_recorder() = default;

    // Must not call the quarantine.
    virtual void record(const crash_suspicion& suspicion, write_urgency urgency) = 0;
    virtual void remove(const request_trait& trait, write_urgency urgency) = 0;
};

// Why a quarantine begins or ends.
enum class quarantine_source {
    server_end, // seen by this gateway
    completion, // of a request of this gateway
    peer,
    store,
    expiry
};

// Why no server may run a request.
struct quarantine_verdict {
    request_trait trait;
    duration left{0};

    // Returns the cause for logs and responses.
    error cause() const;
};

// Learns from the attempts of this gateway, and from the others, under which requests servers have ended.
class crash_quarantine {
public:
    // The references must outlive the quarantine.
    crash_quarantine(const clock& time, metrics_registry& metrics, server_connector& connector);

    // Without a channel, nothing is sent.
    void set_channel(suspicion_channel* new_channel);

    // Without a recorder, nothing outlasts the process.
    void set_recorder(quarantine_recorder* new_recorder);

    // Returns why no server may run a request, or nothing if one may.
    std::optional<quarantine_verdict> find_quarantine(const request_traits& request) const;

    // A listener must be removed before it is destroyed.
    void add_listener(quarantine_listener& listener);
    void remove_listener(quarantine_listener& listener);

    // Record how attempts go: the connection broke after the request may have been sent, there is no response
    // for long, the server has sent something.
    void record_lost_connection(const backend_server& server, const running_request& request);
    void record_silence(const backend_server& server, const running_request& request);
    void record_response(const backend_server& server);

    // Records that a server has run the request to an end that it marked. Only a success shows that it can
    // answer prompts with these parts. A server's own failure (5xx) is no completion: it may precede the run.
    void record_completion(const running_request& request, bool is_success);

    // Records a success that ended with its connection: a completion only if the server has not ended, too.
    void record_unframed_completion(const backend_server& server, running_request request);

    // Takes a message of another gateway. Fails with request_malformed.
    result<void> receive(std::string_view message);

    // Takes what gateways have recorded.
    void learn_stored(const std::vector<crash_suspicion>& stored);

    // Decides on silent servers, repeats what is known to some gateways and drops what has expired; to be
    // called several times a second.
    void check();

    // Returns the traits under quarantine.
    const std::set<request_trait>& quarantined() const;

    std::vector<crash_suspicion> quarantined_suspicions() const;

private:
    void try_connect(std::uint64_t key, const socket_address& address);
    void apply(const std::vector<decided_end>& decisions);
    void record_end(const running_request& request,
                    const server_end& end,
                    const std::string& server_id,
                    std::set<request_trait>& news);
    void note_changes(const std::set<request_trait>& quarantined_before, quarantine_source source);
    void note_change(const request_trait& trait, bool is_quarantined, quarantine_source source);
    void record_news(const std::set<request_trait>& quarantined_before, const std::set<request_trait>& news);
    void send_news(const std::set<request_trait>& traits);

    const clock& time;
    metrics_registry& metrics;
    server_connector& connector;
    suspicion_channel* channel = nullptr;
    quarantine_recorder* recorder = nullptr;
    server_end_detector detector;
    std::map<std::uint64_t, backend_server> suspected_servers; // by hash
    std::set<quarantine_listener*> listeners;
    crash_suspicion_table suspicions;
    time_point repeated_at;
};

} // namespace tanager
