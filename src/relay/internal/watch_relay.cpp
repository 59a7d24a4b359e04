#include "relay/watch_relay.h"

#include "base/digest.h"
#include "logging/event_log.h"
#include "store/types/fencing_token.h"

#include <algorithm>
#include <utility>

namespace tanager {

namespace {

// A feed counts as current for this part of the time that a watch may wait without a response, so that a
// gateway which relies on others misses a change for no longer than one that watches.
constexpr double max_confirmation_age_ratio = 0.9;
// Watches that ended together, because of a change, are spread by random waits of this part of the time or
// more. Otherwise all confirmations would age at the same moment.
constexpr double min_wait_ratio = 0.7;
// A store that does not answer this gateway is called a few times a second, as by a watcher without peers.
constexpr std::chrono::milliseconds min_retry_delay{300};
constexpr std::chrono::milliseconds max_retry_delay{600};
// A watch that only finds out whether the store answers again. With the full wait a gateway would count as
// cut off from the store, and would not be elected, for that long after an outage.
constexpr std::chrono::milliseconds probe_wait{1};
// All gateways list all feeds when the store is in a new era. Spread over this, a few hundred of them make
// fewer calls than the store takes, and a configuration is still in force within its bound of seconds.
constexpr std::chrono::milliseconds new_era_spread{1'000};
// A gateway that misses changes for longer says so in its log; a change is usually known within half of it.
constexpr std::chrono::seconds missing_changes_report_time{1};
// Up to 10 to 19 s between lists in vain.
constexpr unsigned max_list_delay_doublings = 5;

std::chrono::milliseconds
draw_between(std::chrono::milliseconds low, std::chrono::milliseconds high, random_source& random)
{
    const auto range = static_cast<std::uint64_t>((high - low).count()) + 1;
    return low + std::chrono::milliseconds{static_cast<std::int64_t>(random.next() % range)};
}

std::chrono::milliseconds scale(std::chrono::milliseconds span, double ratio)
{
    return std::chrono::milliseconds{static_cast<std::int64_t>(static_cast<double>(span.count()) * ratio)};
}

// Returns the feed of an object, or of a prefix itself.
std::string prefix_of(const std::string& name)
{
    return name.substr(0, name.find('/') + 1);
}

// Returns 0 across eras, whose revisions are not counted on.
std::uint64_t missing_revisions(const feed_tracker& tracker)
{
    const auto known = tracker.known_revision();
    const auto required = tracker.required_revision();
    return era_of(known) == era_of(required) && required > known ? required - known : 0;
}

std::string to_text(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

watch_relay::feed_state::feed_state(std::string prefix, const clock& time)
    : prefix(std::move(prefix)), hash(static_cast<std::uint32_t>(hash64(this->prefix))), tracker(time)
{
}

watch_relay::watch_relay(const clock& time, random_source& random, object_store& store)
    : time(time), random(random), store(store), breaker(time, random)
{
}

void watch_relay::set_channel(relay_channel* new_channel)
{
    this->channel = new_channel;
}

watch_relay::feed_state& watch_relay::feed_of(const std::string& prefix)
{
    auto& feed = this->feeds[prefix];
    if (feed == nullptr) {
        feed = std::make_shared<feed_state>(prefix, this->time);
    }
    return *feed;
}

bool watch_relay::is_elected() const
{
    return this->channel == nullptr || this->channel->is_elected();
}

bool watch_relay::is_confirmed(const feed_state& feed)
{
    return feed.tracker.confirmation_age() <= scale(feed.max_wait, max_confirmation_age_ratio) &&
           !feed.tracker.is_missing_changes();
}

void watch_relay::list(const std::string& prefix, listing_callback callback)
{
    this->feed_of(prefix);
    this->hold_read(prefix,
                    [this, prefix, callback = std::move(callback)] { this->call_list(prefix, callback); });
}

void watch_relay::call_list(const std::string& prefix, const listing_callback& callback)
{
    const auto asked_at = this->time.now();
    this->store.list(prefix,
                     [this,
                      prefix,
                      callback,
                      asked_at,
                      call = this->breaker.begin_call(prefix),
                      weak = std::weak_ptr(this->lifetime)](const auto& listing) {
                         if (weak.expired()) {
                             return;
                         }
                         if (!this->record_result(call, listing) && call.is_probe()) {
                             this->held_reads.push_back({prefix, [this, prefix, callback] {
                                                             this->call_list(prefix, callback);
                                                         }});
                             return;
                         }
                         if (listing) {
                             this->feed_of(prefix).tracker.record_snapshot(listing->revision, asked_at);
                         }
                         callback(listing);
                     });
}

void watch_relay::call_get(const std::string& name, const object_callback& callback)
{
    this->store.get(name,
                    [this,
                     name,
                     callback,
                     call = this->breaker.begin_call(prefix_of(name)),
                     weak = std::weak_ptr(this->lifetime)](const auto& object) {
                        if (weak.expired()) {
                            return;
                        }
                        if (!this->record_result(call, object) && call.is_probe()) {
                            this->held_reads.push_back({call.feed, [this, name, callback] {
                                                            this->call_get(name, callback);
                                                        }});
                            return;
                        }
                        callback(object);
                    });
}

// Takes the result of a call for the breaker, and starts what waits for an answer; returns whether the store
// answered.
template <typename value>
bool watch_relay::record_result(const store_circuit_breaker::store_call& call, const result<value>& outcome)
{
    if (!outcome && outcome.error().code == result_code::store_unavailable) {
        this->breaker.record_failure(call);
        return false;
    }
    this->breaker.record_answer(call);
    this->start_held_reads();
    return true;
}

void watch_relay::hold_read(const std::string& name, std::function<void()> start)
{
    this->held_reads.push_back({prefix_of(name), std::move(start)});
    this->start_held_reads();
    this->start_probe();
}

void watch_relay::start_held_reads()
{
    while (!this->held_reads.empty() && !this->breaker.is_open()) {
        const auto read = std::move(this->held_reads.front());
        this->held_reads.pop_front();
        read.start();
    }
}

// Makes the next probe, if one is due, of the feed whose turn it is.
void watch_relay::start_probe()
{
    if (!this->breaker.is_open()) {
        return;
    }
    std::vector<store_circuit_breaker::waiting_call> waiting;
    for (const auto& read : this->held_reads) {
        waiting.push_back({read.feed, store_circuit_breaker::urgency::starting});
    }
    std::vector<std::shared_ptr<feed_state>> due_feeds;
    for (const auto& [prefix, feed] : this->feeds) {
        if (this->is_call_due(*feed)) {
            waiting.push_back({prefix, this->urgency_of(*feed)});
            due_feeds.push_back(feed);
        }
    }
    const auto chosen = this->breaker.choose_probe(waiting);
    if (!chosen) {
        return;
    }
    if (*chosen >= this->held_reads.size()) {
        this->call_store(*due_feeds[*chosen - this->held_reads.size()]);
        return;
    }
    const auto read = this->held_reads.begin() + static_cast<std::ptrdiff_t>(*chosen);
    const auto start = std::move(read->start);
    this->held_reads.erase(read);
    start();
}

void watch_relay::watch(const std::string& prefix,
                        std::uint64_t since,
                        std::chrono::milliseconds max_wait,
                        listing_callback callback)
{
    auto& feed = this->feed_of(prefix);
    feed.since = since;
    feed.max_wait = max_wait;
    feed.callback = std::move(callback);
    feed.tracker.record_known_revision(since);
    this->advance(feed);
}

void watch_relay::get(const std::string& name, object_callback callback)
{
    this->hold_read(name, [this, name, callback = std::move(callback)] { this->call_get(name, callback); });
}

void watch_relay::put(const std::string& name,
                      const std::string& value,
                      std::uint64_t expected,
                      version_callback callback)
{
    this->store.put(name, value, expected, std::move(callback));
}

void watch_relay::remove(const std::string& name, std::uint64_t expected, version_callback callback)
{
    this->store.remove(name, expected, std::move(callback));
}

std::uint64_t watch_relay::known_era() const
{
    return this->store.known_era();
}

// Answers the pending watch if there is something to report, or calls the store if that is due.
void watch_relay::advance(feed_state& feed)
{
    if (!feed.callback) {
        return;
    }
    const bool is_confirmed_since_failure =
        feed.has_failed && is_confirmed(feed) &&
        feed.tracker.confirmation_age() < this->time.now() - feed.failed_at;
    if (feed.tracker.has_new_changes() || is_confirmed_since_failure) {
        deliver(feed);
        return;
    }
    if (this->leave_earlier_era(feed)) {
        return;
    }
    if (feed.is_calling || this->time.now() < feed.retry_at) {
        return;
    }
    this->set_relies_on_peers(feed, this->may_rely_on_peers(feed));
    if (this->is_call_due(feed) && !this->breaker.is_open()) {
        this->call_store(feed);
    }
}

// A store that has failed is called until it responds, since this gateway cannot be elected before.
bool watch_relay::may_rely_on_peers(const feed_state& feed) const
{
    return !this->is_elected() && !feed.is_bridged && is_confirmed(feed);
}

// Returns whether the pending watch has to be answered by the store itself.
bool watch_relay::is_call_due(const feed_state& feed) const
{
    return feed.callback && !feed.is_calling && this->time.now() >= feed.retry_at &&
           !this->may_rely_on_peers(feed);
}

// A call is not urgent once the store has answered a peer since it stopped answering this gateway.
store_circuit_breaker::urgency watch_relay::urgency_of(const feed_state& feed) const
{
    const auto open_time = this->time.now() - this->breaker.opened_at();
    const bool answers_peers = std::ranges::any_of(this->feeds, [open_time](const auto& entry) {
        return entry.second->tracker.confirmation_age() < open_time;
    });
    return answers_peers && is_confirmed(feed) ? store_circuit_breaker::urgency::relaxed
                                               : store_circuit_breaker::urgency::urgent;
}

void watch_relay::set_relies_on_peers(feed_state& feed, bool relies_on_peers) const
{
    if (std::exchange(feed.relies_on_peers, relies_on_peers) == relies_on_peers) {
        return;
    }
    write_event(relies_on_peers ? log_event::relay_used : log_event::relay_lost,
                {{"prefix", feed.prefix},
                 {"revision", std::to_string(feed.tracker.known_revision())},
                 {"age_ms", to_text(feed.tracker.confirmation_age())},
                 {"changes_missing", feed.tracker.is_missing_changes() ? "yes" : "no"},
                 {"elected", this->is_elected() ? "yes" : "no"}});
}

// Ends a watch from an earlier era than peers know, so that its watcher lists everything again; returns
// whether it has.
bool watch_relay::leave_earlier_era(feed_state& feed)
{
    if (!feed.tracker.is_in_earlier_era()) {
        feed.era_ends_at.reset();
        feed.lists_in_vain = 0;
        return false;
    }
    const auto now = this->time.now();
    if (!feed.era_ends_at) {
        feed.era_ends_at = now + draw_between(std::chrono::milliseconds{0}, new_era_spread, this->random);
    }
    if (now < *feed.era_ends_at) {
        return false;
    }
    // While the store still answers from the earlier era, a peer that states a wrong one must not make every
    // gateway list over and over.
    const auto factor = 1U << std::min(feed.lists_in_vain++, max_list_delay_doublings);
    feed.era_ends_at = now + factor * draw_between(min_retry_delay, max_retry_delay, this->random);
    const auto callback = std::exchange(feed.callback, nullptr);
    callback(fail(result_code::history_lost, "a peer knows a new era of the store"));
    return true;
}

void watch_relay::deliver(feed_state& feed)
{
    feed.has_failed = false;
    const auto callback = std::exchange(feed.callback, nullptr);
    callback(feed.tracker.take_new_changes(feed.since));
}

void watch_relay::call_store(feed_state& feed)
{
    feed.is_calling = true;
    const auto call = this->breaker.begin_call(feed.prefix);
    const auto wait = call.is_probe() || feed.has_failed || feed.is_bridged
                          ? probe_wait
                          : draw_between(scale(feed.max_wait, min_wait_ratio), feed.max_wait, this->random);
    const auto since = feed.tracker.known_revision();
    this->store.watch(
        feed.prefix,
        since,
        wait,
        [this, call, since, asked_at = this->time.now(), weak = std::weak_ptr(this->feeds[feed.prefix])](
            const auto& listing) {
            const auto called = weak.lock();
            if (called == nullptr) {
                return;
            }
            this->record_result(call, listing);
            if (era_of(since) < era_of(called->tracker.known_revision())) {
                // The feed has been listed in a new era meanwhile.
                called->is_calling = false;
                this->advance(*called);
                return;
            }
            this->on_store_response(*called, listing, asked_at);
        });
}

void watch_relay::on_store_response(feed_state& feed,
                                    const result<object_listing>& listing,
                                    time_point asked_at)
{
    feed.is_calling = false;
    if (!listing) {
        this->on_store_failure(feed, listing.error());
        return;
    }
    if (std::exchange(feed.is_bridged, false)) {
        write_event(log_event::store_recovered,
                    {{"prefix", feed.prefix}, {"revision", std::to_string(listing->revision)}});
    }
    feed.tracker.record_store_changes(*listing, asked_at);
    if (!listing->objects.empty() && this->channel != nullptr && this->is_elected()) {
        this->channel->send_changes({{}, feed.prefix, *listing, false});
    }
    if (feed.callback) {
        deliver(feed);
    }
}

void watch_relay::on_store_failure(feed_state& feed, const error& cause)
{
    const auto now = this->time.now();
    if (cause.code != result_code::history_lost && is_confirmed(feed)) {
        feed.retry_at = now + draw_between(min_retry_delay, max_retry_delay, this->random);
        if (!std::exchange(feed.is_bridged, true)) {
            write_event(log_event::store_unavailable,
                        {{"prefix", feed.prefix},
                         {"known_revision", std::to_string(feed.tracker.known_revision())},
                         {"detail", cause.detail + "; peers pass changes on"}});
        }
        return;
    }
    feed.is_bridged = false;
    // The watcher has been told already; its watch stays pending until the next probe.
    if (feed.has_failed && this->breaker.is_open()) {
        return;
    }
    feed.has_failed = true;
    feed.failed_at = now;
    if (feed.callback) {
        const auto callback = std::exchange(feed.callback, nullptr);
        callback(tl::make_unexpected(cause));
    }
}

void watch_relay::record_changes(const relayed_changes& relayed)
{
    const auto found = this->feeds.find(relayed.prefix);
    if (found == this->feeds.end()) {
        return;
    }
    auto& feed = *found->second;
    if (relayed.is_omitted) {
        feed.tracker.record_omitted_changes(relayed.changes.revision);
    } else if (feed.tracker.record_peer_changes(relayed.changes)) {
        write_event(log_event::changes_relayed,
                    {{"prefix", feed.prefix},
                     {"peer", relayed.sender},
                     {"since", std::to_string(relayed.changes.since)},
                     {"revision", std::to_string(relayed.changes.revision)},
                     {"objects", std::to_string(relayed.changes.objects.size())}});
    }
    this->advance(feed);
}

void watch_relay::record_confirmations(const std::vector<feed_confirmation>& confirmations)
{
    const auto now = this->time.now();
    const auto transit = now - this->channel_idle_at.value_or(now);
    for (const auto& [prefix, feed] : this->feeds) {
        const auto found = std::ranges::find(confirmations, feed->hash, &feed_confirmation::feed);
        if (found != confirmations.end()) {
            feed->tracker.record_confirmation(*found, transit);
            this->advance(*feed);
        }
    }
}

void watch_relay::record_idle_channel()
{
    this->channel_idle_at = this->time.now();
}

std::optional<time_point> watch_relay::current_as_of(const std::string& prefix) const
{
    const auto found = this->feeds.find(prefix);
    return found == this->feeds.end() ? std::nullopt : found->second->tracker.current_as_of();
}

std::vector<feed_confirmation> watch_relay::confirmations() const
{
    std::vector<feed_confirmation> own;
    for (const auto& [prefix, feed] : this->feeds) {
        if (auto confirmation = feed->tracker.own_confirmation()) {
            confirmation->feed = feed->hash;
            own.push_back(*confirmation);
        }
    }
    return own;
}

std::vector<watch_relay::feed_status> watch_relay::feed_statuses() const
{
    std::vector<feed_status> statuses;
    for (const auto& [prefix, feed] : this->feeds) {
        const auto& tracker = feed->tracker;
        feed_status status{prefix, tracker.confirmation_age(), duration{0}, 0};
        if (const auto since = tracker.missing_changes_since()) {
            status.missing_for = this->time.now() - *since;
            status.missing_revisions = missing_revisions(tracker);
        }
        statuses.push_back(std::move(status));
    }
    return statuses;
}

void watch_relay::report_missing_changes(feed_state& feed) const
{
    const auto now = this->time.now();
    const auto missing_since = feed.tracker.missing_changes_since();
    if (!feed.behind_since && missing_since && now - *missing_since >= missing_changes_report_time) {
        feed.behind_since = missing_since;
        write_event(log_event::feed_behind,
                    {{"prefix", feed.prefix},
                     {"known_revision", std::to_string(feed.tracker.known_revision())},
                     {"revisions", std::to_string(missing_revisions(feed.tracker))},
                     {"missing_ms", to_text(now - *missing_since)},
                     {"age_ms", to_text(feed.tracker.confirmation_age())}});
    } else if (feed.behind_since && !missing_since) {
        write_event(log_event::feed_caught_up,
                    {{"prefix", feed.prefix},
                     {"revision", std::to_string(feed.tracker.known_revision())},
                     {"missing_ms", to_text(now - *feed.behind_since)}});
        feed.behind_since.reset();
    }
}

bool watch_relay::is_store_failing() const
{
    return this->breaker.is_open() || std::ranges::any_of(this->feeds, [](const auto& entry) {
               return entry.second->is_bridged || entry.second->has_failed;
           });
}

void watch_relay::check()
{
    this->start_held_reads();
    for (const auto& [prefix, feed] : this->feeds) {
        this->advance(*feed);
        this->report_missing_changes(*feed);
    }
    this->start_probe();
}

} // namespace tanager
