// Decides whether what is known of one feed is current, or has to be read from the store.
#pragma once

#include "base/clock.h"
#include "relay/types/feed_types.h"
#include "store/types/stored_object.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace tanager {

// Load pattern: a hundred gateways need the same few changes of the store within seconds, and most of the
// time there are none. A few of them watch the store. They pass each change on, and regularly confirm up to
// which revision there was none.
//
// Messages may be lost, duplicated, delayed or reordered, and a gateway that watches may be cut off,
// suspended or denied by the store without noticing. So nothing rests on any one of them: changes are taken
// only if they continue what is known without a gap, an older state never replaces a newer one, and a feed
// that nobody has confirmed lately is read from the store.
//
// When the store comes back from a copy, gateways learn of the new era one after the other. Changes and
// confirmations of another era than that of the last snapshot are not taken; those of a later one tell that
// everything has to be listed again.
class feed_tracker {
public:
    // `time` must count the time for which the host is suspended.
    explicit feed_tracker(const clock& time);

    // Records a list of all objects by the store. For this and for changes, `asked_at` is the time at which
    // the store was called; without it, the response does not extend `current_as_of`.
    void record_snapshot(std::uint64_t revision, std::optional<time_point> asked_at = std::nullopt);

    // Records that everything up to `revision` is known.
    void record_known_revision(std::uint64_t revision);

    // Records the store's response to a watch call, which also confirms the feed.
    void record_store_changes(const object_listing& changes,
                              std::optional<time_point> asked_at = std::nullopt);

    // Records changes that a peer has passed on; returns whether any of them was not known yet.
    bool record_peer_changes(const object_listing& changes);

    // Records that a peer knows of changes up to `revision` which it could not pass on.
    void record_omitted_changes(std::uint64_t revision);

    // `transit` is the longest time that the confirmation may have been on its way.
    void record_confirmation(const feed_confirmation& confirmation, duration transit = duration{0});

    // Returns the revision up to which all changes are known.
    std::uint64_t known_revision() const;

    bool has_new_changes() const;

    // Returns and removes the changes recorded since the last call, as a listing after revision `since`.
    object_listing take_new_changes(std::uint64_t since);

    // Returns the time since the store's last response that confirmed what is known, at any gateway.
    duration confirmation_age() const;

    // Returns the latest time at which the store, asked by any gateway, certainly had nothing newer than what
    // the watcher has been given; nothing before the first response. In an era that began while the feed was
    // followed, only questions count that were asked a grace time after this gateway learnt of it: until then
    // the store may lack what it had before.
    std::optional<time_point> current_as_of() const;

    // Returns whether changes are known to be missing, and did not follow within a grace time.
    bool is_missing_changes() const;

    // Returns since when changes are known to be missing, and the highest revision at which the feed is known
    // to have changed.
    std::optional<time_point> missing_changes_since() const;
    std::uint64_t required_revision() const;

    // Returns whether a peer knows a later era of the store than that of the last snapshot.
    bool is_in_earlier_era() const;

    // Returns the confirmation by this gateway's own last store response, without the feed's hash; nothing
    // before the first response.
    std::optional<feed_confirmation> own_confirmation() const;

private:
    struct store_response {
        std::uint64_t last_change = 0;
        std::uint64_t revision = 0;
        time_point at;
        std::optional<time_point> asked_at;
    };

    bool apply(const object_listing& changes);
    void note_era(std::uint64_t era);
    void extend_currency(std::optional<time_point> asked_at);
    void note_required(std::uint64_t revision, time_point missing_since);

    const clock& time;
    std::uint64_t known = 0;
    std::uint64_t last_change = 0;
    std::uint64_t required = 0;              // the feed changed at this revision, or just before it
    std::optional<time_point> missing_since; // set while `required` is not known
    std::vector<stored_object> new_objects;
    time_point confirmed_at;
    std::optional<time_point> known_current_at; // the time of asking that confirmed what is known
    std::optional<time_point> given_current_at; // and what the watcher has been given
    std::uint64_t newest_era = 0;               // that the store or a peer has stated
    std::optional<time_point> era_began_at;     // as learnt here; unset in the era of the first list
    std::optional<store_response> last_response;
};

} // namespace tanager
