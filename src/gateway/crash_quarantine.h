// Rejects requests under which backend servers have ended.
#pragma once

#include "base/clock.h"
#include "base/types/result.h"
#include "fleet/types/backend_server.h"
#include "metrics/metrics_registry.h"
#include "quarantine/crash_suspicion_table.h"
#include "quarantine/server_end_detector.h"

#include <functional>
#include <map>
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

// Learns from the attempts of this gateway, and from the others, under which requests servers have ended.
class crash_quarantine {
public:
    // The references must outlive the quarantine.
    crash_quarantine(const clock& time, metrics_registry& metrics, server_connector& connector);

    // Without a channel, nothing is sent.
    void set_channel(suspicion_channel* new_channel);

    // Returns for how long no server may run a request, and 0 if one may.
    duration quarantine_left(std::uint64_t fingerprint) const;

    // Record how attempts go: the connection broke after the request may have been sent, there is no response
    // for long, the server has sent something, it has completed the request.
    void record_lost_connection(const backend_server& server, const request_traits& request);
    void record_silence(const backend_server& server, const request_traits& request);
    void record_response(const backend_server& server);
    void record_completion(std::uint64_t fingerprint);

    // Takes a message of another gateway. Fails with request_malformed.
    result<void> receive(std::string_view message);

    // Decides on silent servers, repeats what is known to some gateways and drops what has expired; to be
    // called several times a second.
    void check();

    std::size_t quarantined_count() const;

private:
    void apply(const std::vector<decided_end>& decisions);
    void record_end(const request_traits& request, const decided_end& decision, const std::string& server_id);
    void send_news(const std::vector<std::uint64_t>& fingerprints);

    const clock& time;
    metrics_registry& metrics;
    server_connector& connector;
    suspicion_channel* channel = nullptr;
    server_end_detector detector;
    std::map<std::uint64_t, std::string> suspected_server_ids; // by hash, for the log
    crash_suspicion_table suspicions;
    time_point repeated_at;
};

} // namespace tanager
