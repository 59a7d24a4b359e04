// A simulated site: gateways in several data centres that follow one feed of a store through watch relays.
#pragma once

#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "membership/watcher_election.h"
#include "relay/change_codec.h"
#include "relay/watch_relay.h"
#include "store/mocks/watch_only_store.h"
#include "store/types/fencing_token.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanager {

using object_values = std::map<std::string, std::string>;

// The history of one feed, and the watches that wait for its next change.
class simulated_history {
public:
    void change(const std::string& name, const std::string& value)
    {
        this->events.push_back({name, ++this->revision, value.empty(), value});
    }

    // A write outside the feed.
    void change_elsewhere()
    {
        ++this->revision;
    }

    // The changes up to now can no longer be read one by one.
    void compact()
    {
        this->oldest_since = this->revision;
    }

    // Comes back from a copy as of `copied`, in a new era.
    void restore(std::uint64_t copied)
    {
        this->events_by_era[era_of(copied)] = this->events;
        std::erase_if(this->events, [copied](const auto& event) { return event.version > copied; });
        const auto era = era_of(copied) + 1;
        for (auto& event : this->events) {
            event.version = fencing_token(era, revision_of(event.version));
        }
        this->revision = fencing_token(era, revision_of(copied));
    }

    object_listing list() const
    {
        object_listing listing{0, this->revision, true, {}};
        for (const auto& [name, value] : this->values_at(this->revision)) {
            listing.objects.push_back({name, this->revision, false, value});
        }
        return listing;
    }

    result<object_listing> changes_since(std::uint64_t since) const
    {
        if (since < this->oldest_since || era_of(since) != era_of(this->revision)) {
            return fail(result_code::history_lost, "compacted");
        }
        object_listing changes{since, this->revision, false, {}};
        std::ranges::copy_if(this->events, std::back_inserter(changes.objects), [since](const auto& event) {
            return event.version > since;
        });
        return changes;
    }

    object_values values_at(std::uint64_t at_revision) const
    {
        object_values values;
        const auto earlier = this->events_by_era.find(era_of(at_revision));
        for (const auto& event : earlier == this->events_by_era.end() ? this->events : earlier->second) {
            if (event.version > at_revision) {
                break;
            }
            if (event.deleted) {
                values.erase(event.name);
            } else {
                values[event.name] = event.value;
            }
        }
        return values;
    }

    std::uint64_t revision = 1;

private:
    std::uint64_t oldest_since = 0;
    std::vector<stored_object> events;
    std::map<std::uint64_t, std::vector<stored_object>> events_by_era; // of earlier eras
};

// The connection of one gateway to the store. Calls end in `step`.
class simulated_store_connection final : public watch_only_store {
public:
    simulated_store_connection(const clock& time, const simulated_history& history)
        : time(time), history(history)
    {
    }

    void list(const std::string& /*prefix*/, listing_callback callback) override
    {
        this->begin({std::nullopt, this->time.now(), std::move(callback)});
    }

    void watch(const std::string& /*prefix*/,
               std::uint64_t since,
               std::chrono::milliseconds max_wait,
               listing_callback callback) override
    {
        this->begin({since, this->time.now() + max_wait, std::move(callback)});
    }

    // Ends the calls that have a response or have timed out.
    void step()
    {
        for (auto& pending : std::exchange(this->calls, {})) {
            this->step_call(std::move(pending));
        }
    }

    bool is_silent = false;    // calls get no response, and neither do those that wait
    bool is_rejecting = false; // calls fail at once
    int call_count = 0;

private:
    struct pending_call {
        std::optional<std::uint64_t> since; // empty for a list call
        time_point ends_at;
        listing_callback callback;
        bool is_lost = false;
    };

    void begin(pending_call call)
    {
        ++this->call_count;
        call.is_lost = this->is_silent;
        this->calls.push_back(std::move(call));
    }

    void step_call(pending_call call)
    {
        constexpr std::chrono::milliseconds timeout_grace{500};
        const auto now = this->time.now();
        call.is_lost = call.is_lost || this->is_silent;
        const bool has_changed = call.since && this->history.changes_since(*call.since) &&
                                 !this->history.changes_since(*call.since)->objects.empty();
        const bool is_over =
            !call.since || has_changed || now >= call.ends_at || !this->history.changes_since(*call.since);
        if (this->is_rejecting || (call.is_lost && now >= call.ends_at + timeout_grace)) {
            call.callback(fail(result_code::store_unavailable, "simulated"));
        } else if (call.is_lost || !is_over) {
            this->calls.push_back(std::move(call));
        } else if (call.since) {
            call.callback(this->history.changes_since(*call.since));
        } else {
            call.callback(this->history.list());
        }
    }

    const clock& time;
    const simulated_history& history;
    std::vector<pending_call> calls;
};

// One gateway. Lists once, then watches, and keeps the values of the feed's objects.
class simulated_gateway final : public relay_channel {
public:
    static constexpr const char* prefix = "feed/";
    static constexpr std::chrono::milliseconds watch_wait{2'200};

    simulated_gateway(const clock& time,
                      const simulated_history& history,
                      std::string name,
                      std::string data_centre,
                      std::uint64_t seed)
        : time(time),
          name(std::move(name)),
          data_centre(std::move(data_centre)),
          random(seed),
          store(time, history),
          relay(time, this->random, this->store),
          started_at(time.now())
    {
        this->relay.set_channel(this);
    }

    void send_changes(const relayed_changes& relayed) override
    {
        this->outbox.push_back(relayed);
    }

    bool is_elected() const override
    {
        std::vector<std::string> live;
        for (const auto& [peer, reported_at] : this->nearby_reports) {
            if (this->time.now() - reported_at <= std::chrono::seconds{1}) {
                live.push_back(peer);
            }
        }
        return !this->relay.is_store_failing() && is_elected_watcher(this->name, live, 2);
    }

    void step()
    {
        this->store.step();
        this->relay.check();
        if (!this->is_waiting && this->time.now() >= this->next_call_at) {
            this->is_waiting = true;
            const auto on_listing = [this](const result<object_listing>& listing) {
                this->on_listing(listing);
            };
            if (this->has_listed) {
                this->relay.watch(prefix, this->revision, watch_wait, on_listing);
            } else {
                this->relay.list(prefix, on_listing);
            }
        }
    }

    const clock& time;
    std::string name;
    std::string data_centre;
    seeded_random random;
    simulated_store_connection store;
    watch_relay relay;
    time_point started_at;
    std::map<std::string, time_point> nearby_reports; // when each peer of the data centre last reported
    std::vector<relayed_changes> outbox;
    object_values values;
    std::uint64_t revision = 0;
    bool has_gone_back = false;
    bool has_listed = false;

private:
    void on_listing(const result<object_listing>& listing)
    {
        constexpr std::chrono::milliseconds coalescing_delay{200};
        constexpr std::chrono::milliseconds retry_delay{300};
        this->is_waiting = false;
        if (!listing) {
            this->has_listed = this->has_listed && listing.error().code != result_code::history_lost;
            this->next_call_at = this->time.now() + retry_delay;
            return;
        }
        if (listing->is_snapshot) {
            this->values.clear();
            this->has_listed = true;
        }
        for (const auto& object : listing->objects) {
            if (object.deleted) {
                this->values.erase(object.name);
            } else {
                this->values[object.name] = object.value;
            }
        }
        this->has_gone_back = this->has_gone_back || listing->revision < this->revision;
        this->revision = listing->revision;
        this->next_call_at =
            this->time.now() + (listing->objects.empty() ? std::chrono::milliseconds{0} : coalescing_delay);
    }

    bool is_waiting = false;
    time_point next_call_at;
};

} // namespace tanager
