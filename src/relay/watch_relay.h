// A store client whose watches are answered by changes that other gateways pass on.
#pragma once

#include "base/clock.h"
#include "base/random_source.h"
#include "relay/feed_tracker.h"
#include "relay/store_circuit_breaker.h"
#include "relay/types/feed_types.h"
#include "store/object_store.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

// The connection of a relay to the gateways in its data centre.
class relay_channel {
public:
    relay_channel() = default;
    relay_channel(const relay_channel&) = delete;
    relay_channel& operator=(const relay_channel&) = delete;
    relay_channel(relay_channel&&) = delete;
    relay_channel& operator=(relay_channel&&) = delete;
    virtual ~relay_channel() = default;

    // Sends changes to every other gateway in the data centre. They may be lost.
    virtual void send_changes(const relayed_changes& relayed) = 0;

    // Returns whether this gateway is elected to watch the store for its data centre.
    virtual bool is_elected() const = 0;
};

// Passes calls through to the store, except for watches. Elected gateways watch the store, send what changed
// to their data centre and confirm in their load reports up to which revision they know everything. The
// others leave a watch pending, without a call, while their feed is confirmed; they call the store when it is
// not, or when changes are missing. A gateway that the store does not answer keeps its watch pending while
// its peers confirm the feed. While the store does not answer, the watches and reads of all feeds take turns
// with one probe, and the answer to it starts those that wait (see store_circuit_breaker). Watches from an
// earlier era than one that peers know end with history_lost.
class watch_relay final : public object_store {
public:
    // `time` must count the time for which the host is suspended. The references must outlive the relay.
    watch_relay(const clock& time, random_source& random, object_store& store);

    // Without a channel the relay acts as an elected gateway.
    void set_channel(relay_channel* new_channel);

    void list(const std::string& prefix, listing_callback callback) override;
    void watch(const std::string& prefix,
               std::uint64_t since,
               std::chrono::milliseconds max_wait,
               listing_callback callback) override;
    void get(const std::string& name, object_callback callback) override;
    void put(const std::string& name,
             const std::string& value,
             std::uint64_t expected,
             version_callback callback) override;
    void remove(const std::string& name, std::uint64_t expected, version_callback callback) override;
    std::uint64_t known_era() const override;

    // Take what a peer has sent.
    void record_changes(const relayed_changes& relayed);
    void record_confirmations(const std::vector<feed_confirmation>& confirmations);

    // Records that no datagram of a peer was waiting to be read. What is read next was sent after that,
    // however long this host was suspended meanwhile.
    void record_idle_channel();

    // Returns the latest time at which the store certainly had nothing newer under a prefix than what the
    // watcher has been given, by the clock of this relay.
    std::optional<time_point> current_as_of(const std::string& prefix) const;

    // Returns this gateway's own confirmations, for its load reports.
    std::vector<feed_confirmation> confirmations() const;

    // How far each feed is behind the store, as far as this gateway and its peers know.
    struct feed_status {
        std::string prefix;
        duration confirmation_age{0};        // since the store's last response that confirmed the feed
        duration missing_for{0};             // 0 unless changes are known to be missing
        std::uint64_t missing_revisions = 0; // of the store, from the known one to the last known change

        friend bool operator==(const feed_status&, const feed_status&) = default;
    };
    std::vector<feed_status> feed_statuses() const;

    // Returns whether the store failed this gateway's last call for any feed.
    bool is_store_failing() const;

    // Calls the store for feeds that are no longer confirmed, and starts held reads; to be called every few
    // milliseconds.
    void check();

private:
    // A list or get that waits for the store to answer.
    struct held_read {
        std::string feed;
        std::function<void()> start;
    };

    // One feed and the watch that is pending on it.
    struct feed_state {
        feed_state(std::string prefix, const clock& time);

        std::string prefix;
        std::uint32_t hash = 0;
        feed_tracker tracker;
        listing_callback callback; // empty while the watcher does not wait
        std::uint64_t since = 0;
        std::chrono::milliseconds max_wait{0};
        bool is_calling = false;      // the store is called
        bool has_failed = false;      // the watcher was told that the store failed
        bool is_bridged = false;      // the store failed, but peers confirm the feed
        bool relies_on_peers = false; // they confirm the feed, so the store is not called
        time_point failed_at;
        time_point retry_at;
        std::optional<time_point> era_ends_at;  // set while peers know a later era of the store
        unsigned lists_in_vain = 0;             // since then
        std::optional<time_point> behind_since; // set from the log line that says so to the one that ends it
    };

    feed_state& feed_of(const std::string& prefix);
    bool is_elected() const;
    static bool is_confirmed(const feed_state& feed);
    bool may_rely_on_peers(const feed_state& feed) const;
    bool is_call_due(const feed_state& feed) const;
    store_circuit_breaker::urgency urgency_of(const feed_state& feed) const;
    void set_relies_on_peers(feed_state& feed, bool relies_on_peers) const;
    void advance(feed_state& feed);
    static void deliver(feed_state& feed);
    void report_missing_changes(feed_state& feed) const;
    bool leave_earlier_era(feed_state& feed);
    void call_store(feed_state& feed);
    void on_store_response(feed_state& feed, const result<object_listing>& listing, time_point asked_at);
    void on_store_failure(feed_state& feed, const error& cause);
    void call_list(const std::string& prefix, const listing_callback& callback);
    void call_get(const std::string& name, const object_callback& callback);
    void hold_read(const std::string& name, std::function<void()> start);
    void start_held_reads();
    void start_probe();
    template <typename value>
    bool record_result(const store_circuit_breaker::store_call& call, const result<value>& outcome);

    const clock& time;
    random_source& random;
    object_store& store;
    relay_channel* channel = nullptr;
    store_circuit_breaker breaker;
    std::deque<held_read> held_reads;
    std::map<std::string, std::shared_ptr<feed_state>> feeds;
    std::optional<time_point> channel_idle_at;
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace tanager
