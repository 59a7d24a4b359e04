#include "relay/feed_tracker.h"

#include "store/types/fencing_token.h"

#include <algorithm>
#include <utility>

namespace tanager {

namespace {

// Gateways that watch coalesce changes for up to 200 ms, so one may confirm a change before another passes it
// on.
constexpr std::chrono::milliseconds missing_changes_grace{300};

// A copy may lack the configuration that took a key away. Operators and servers write again what it lacks,
// and entries are back within about two seconds of the store's return; one second is kept for slow writes.
constexpr std::chrono::seconds rewrite_grace{3};

// Stands for an unknown time of asking.
constexpr std::chrono::hours max_asked_age{24};

// Returns whether every object carries the revision of its change, deletions included.
bool has_exact_versions(const object_listing& changes)
{
    return std::ranges::all_of(changes.objects, [&](const stored_object& object) {
        return object.version > changes.since && object.version <= changes.revision;
    });
}

} // namespace

feed_tracker::feed_tracker(const clock& time) : time(time), confirmed_at(time.now()) {}

void feed_tracker::record_snapshot(std::uint64_t revision, std::optional<time_point> asked_at)
{
    const auto now = this->time.now();
    if (this->last_response) {
        this->note_era(era_of(revision));
    } else {
        this->newest_era = era_of(revision);
    }
    // What peers have passed on, and was not given to the watcher, may be missing in the list.
    this->known_current_at = this->given_current_at;
    this->known = revision;
    this->last_change = revision;
    this->new_objects.clear();
    this->confirmed_at = now;
    this->last_response = {revision, revision, now, asked_at};
    this->note_required(this->required, now);
    this->extend_currency(asked_at);
}

void feed_tracker::record_known_revision(std::uint64_t revision)
{
    this->known = std::max(this->known, revision);
    this->note_required(this->required, this->time.now());
}

void feed_tracker::record_store_changes(const object_listing& changes, std::optional<time_point> asked_at)
{
    const auto now = this->time.now();
    if (era_of(changes.revision) < era_of(this->known)) {
        return;
    }
    if (!this->apply(changes)) {
        this->note_required(changes.revision, now);
        return;
    }
    this->confirmed_at = now;
    this->last_response = {this->last_change, std::max(changes.revision, this->last_change), now, asked_at};
    this->extend_currency(asked_at);
}

bool feed_tracker::record_peer_changes(const object_listing& changes)
{
    const auto known_before = this->known;
    if (!this->apply(changes)) {
        this->note_required(changes.revision, this->time.now());
    }
    return this->known > known_before;
}

void feed_tracker::record_omitted_changes(std::uint64_t revision)
{
    this->note_required(revision, this->time.now() - missing_changes_grace);
}

void feed_tracker::record_confirmation(const feed_confirmation& confirmation, duration transit)
{
    const auto now = this->time.now();
    const auto known_era = era_of(this->known);
    if (era_of(confirmation.revision) < known_era) {
        return;
    }
    if (confirmation.last_change > this->known || era_of(confirmation.revision) > known_era) {
        this->note_required(std::max(confirmation.last_change, confirmation.revision), now);
        return;
    }
    this->known = std::max(this->known, confirmation.revision);
    this->confirmed_at = std::max(this->confirmed_at, now - confirmation.age);
    this->note_required(this->required, now);
    this->extend_currency(now - transit - confirmation.asked_age);
}

// Adds the changes that are not known yet; returns false if others before them are missing.
bool feed_tracker::apply(const object_listing& changes)
{
    if (changes.revision <= this->known) {
        return true;
    }
    // What is known of an earlier era may have been undone.
    if (era_of(changes.revision) > era_of(this->known)) {
        return false;
    }
    const bool is_exact = has_exact_versions(changes);
    if (changes.since > this->known || (!is_exact && changes.since < this->known)) {
        return false;
    }
    for (const auto& object : changes.objects) {
        if (is_exact && object.version <= this->known) {
            continue;
        }
        this->last_change = std::max(this->last_change, is_exact ? object.version : changes.revision);
        this->new_objects.push_back(object);
    }
    this->known = changes.revision;
    this->note_required(this->required, this->time.now());
    return true;
}

// What is known covers all changes up to that time, unless some are known to be missing.
void feed_tracker::extend_currency(std::optional<time_point> asked_at)
{
    if (!asked_at || this->required > this->known) {
        return;
    }
    if (this->era_began_at && *asked_at - *this->era_began_at < rewrite_grace) {
        return;
    }
    this->known_current_at = std::max(this->known_current_at.value_or(*asked_at), *asked_at);
    if (this->new_objects.empty()) {
        this->given_current_at = this->known_current_at;
    }
}

void feed_tracker::note_era(std::uint64_t era)
{
    if (era > this->newest_era) {
        this->newest_era = era;
        this->era_began_at = this->time.now();
    }
}

void feed_tracker::note_required(std::uint64_t revision, time_point missing_since)
{
    if (this->last_response) {
        this->note_era(era_of(revision));
    }
    this->required = std::max(this->required, revision);
    if (this->required <= this->known) {
        this->missing_since.reset();
    } else if (!this->missing_since || missing_since < *this->missing_since) {
        this->missing_since = missing_since;
    }
}

std::uint64_t feed_tracker::known_revision() const
{
    return this->known;
}

bool feed_tracker::has_new_changes() const
{
    return !this->new_objects.empty();
}

object_listing feed_tracker::take_new_changes(std::uint64_t since)
{
    this->given_current_at = this->known_current_at;
    return {since, this->known, false, std::exchange(this->new_objects, {})};
}

duration feed_tracker::confirmation_age() const
{
    return this->time.now() - this->confirmed_at;
}

std::optional<time_point> feed_tracker::current_as_of() const
{
    return this->given_current_at;
}

bool feed_tracker::is_missing_changes() const
{
    return this->missing_since && this->time.now() - *this->missing_since >= missing_changes_grace;
}

std::optional<time_point> feed_tracker::missing_changes_since() const
{
    return this->missing_since;
}

std::uint64_t feed_tracker::required_revision() const
{
    return this->required;
}

bool feed_tracker::is_in_earlier_era() const
{
    return era_of(this->required) > era_of(this->known);
}

std::optional<feed_confirmation> feed_tracker::own_confirmation() const
{
    if (!this->last_response) {
        return std::nullopt;
    }
    const auto age_of = [now = this->time.now()](time_point at) {
        return std::chrono::ceil<std::chrono::milliseconds>(now - at);
    };
    const auto& response = *this->last_response;
    return feed_confirmation{0,
                             response.last_change,
                             response.revision,
                             age_of(response.at),
                             response.asked_at ? age_of(*response.asked_at) : max_asked_age};
}

} // namespace tanager
