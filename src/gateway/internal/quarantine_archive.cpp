#include "gateway/internal/quarantine_archive.h"

#include "logging/event_log.h"
#include "quarantine/stored_suspicion_codec.h"

#include <algorithm>
#include <vector>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds retry_delay{500};
// The gateway that made the change has written it by then, and the others have seen that in the store.
constexpr std::chrono::milliseconds min_delay_for_others{1'500};
// Spreads the gateways that all write the same, so that most find it done.
constexpr std::uint64_t delay_spread_ms = 1'500;
// A reserve for an incident; a write takes some milliseconds.
constexpr std::size_t max_concurrent_writes = 8;
constexpr std::chrono::milliseconds search_interval{500};
// That many suffice for a quarantine of any trait, whatever else explains some of them.
constexpr std::size_t max_recorded_ends = 5;

std::string name_of(const request_trait& trait)
{
    return quarantine_archive::prefix + stored_suspicion_name(trait);
}

} // namespace

quarantine_archive::quarantine_archive(const clock& time,
                                       random_source& random,
                                       object_store& store,
                                       crash_quarantine& quarantine)
    : time(time), random(random), store(store), quarantine(quarantine)
{
    this->quarantine.set_recorder(this);
}

quarantine_archive::~quarantine_archive()
{
    this->quarantine.set_recorder(nullptr);
}

bool quarantine_archive::is_known() const
{
    return this->has_snapshot;
}

void quarantine_archive::record(const crash_suspicion& suspicion, write_urgency urgency)
{
    pending_write write;
    write.value = encode_stored_suspicion(suspicion, this->time.now());
    write.ends = suspicion.unexcused_ends().size();
    this->schedule(name_of(suspicion.trait), std::move(write), urgency);
}

void quarantine_archive::remove(const request_trait& trait, write_urgency urgency)
{
    this->schedule(name_of(trait), {}, urgency);
}

// Replaces an earlier write of the object, and waits for the result of one that has been called.
void quarantine_archive::schedule(const std::string& name, pending_write write, write_urgency urgency)
{
    write.due = this->time.now();
    if (urgency == write_urgency::unless_done_by_others) {
        write.due += min_delay_for_others + std::chrono::milliseconds{this->random.next() % delay_spread_ms};
    }
    write.number = ++this->last_number;
    this->writes.insert_or_assign(name, std::move(write));
    if (urgency == write_urgency::now) {
        this->start_due_writes();
    }
}

bool quarantine_archive::is_stored(const std::string& name, std::size_t ends) const
{
    const auto known = this->entries.find(name);
    return known != this->entries.end() && known->second.ends >= std::min(ends, max_recorded_ends);
}

bool quarantine_archive::is_needed(const std::string& name, const pending_write& write) const
{
    return write.value ? !this->is_stored(name, write.ends) : this->entries.contains(name);
}

void quarantine_archive::check()
{
    const auto now = this->time.now();
    if (now - this->searched_at >= search_interval) {
        this->searched_at = now;
        this->find_missing();
    }
    this->start_due_writes();
}

// An object may lack ends that became known since it was written, or another gateway may have removed it that
// did not know of them.
void quarantine_archive::find_missing()
{
    for (const auto& suspicion : this->quarantine.quarantined_suspicions()) {
        const auto name = name_of(suspicion.trait);
        if (!this->writes.contains(name) && !this->is_stored(name, suspicion.unexcused_ends().size())) {
            this->record(suspicion, write_urgency::unless_done_by_others);
        }
    }
}

void quarantine_archive::start_due_writes()
{
    std::map<std::string, pending_write> due_writes;
    for (const auto& [name, write] : this->writes) {
        if (write.due <= this->time.now() && !this->called_names.contains(name)) {
            due_writes.emplace(name, write);
        }
    }
    for (const auto& [name, write] : due_writes) {
        if (!this->is_needed(name, write)) {
            this->writes.erase(name);
        } else if (this->called_names.size() < max_concurrent_writes) {
            this->call(name, write);
        }
    }
}

void quarantine_archive::call(const std::string& name, const pending_write& write)
{
    this->called_names.insert(name);
    const auto finished =
        [this, name, write, weak = std::weak_ptr{this->lifetime}](const result<std::uint64_t>& written) {
            if (!weak.expired()) {
                this->finish(name, write, written);
            }
        };
    const auto known = this->entries.find(name);
    const auto version = known == this->entries.end() ? 0 : known->second.version;
    if (write.value) {
        this->store.put(name, *write.value, version, finished);
        return;
    }
    this->store.remove(name, version, finished);
}

void quarantine_archive::finish(const std::string& name,
                                const pending_write& write,
                                const result<std::uint64_t>& written)
{
    this->called_names.erase(name);
    const bool is_gone = !written && written.error().code == result_code::object_unknown;
    if (written && write.value) {
        this->entries[name] = {*written, write.ends};
    } else if (written || is_gone) {
        this->entries.erase(name);
    }
    write_event(log_event::quarantine_recorded,
                {{"object", name},
                 {"change", write.value ? "put" : "removed"},
                 {"ends", std::to_string(write.ends)},
                 {"outcome", written ? "done" : std::string{tanager::name_of(written.error().code)}},
                 {"revision", std::to_string(written.value_or(0))}});
    const auto pending = this->writes.find(name);
    if (pending == this->writes.end() || pending->second.number != write.number) {
        return;
    }
    // After a conflict, the watch shows what another gateway has written, and whether this write is still
    // needed.
    if (written || (is_gone && !write.value)) {
        this->writes.erase(pending);
        return;
    }
    pending->second.due = this->time.now() + retry_delay;
}

std::uint64_t quarantine_archive::known_revision() const
{
    return this->revision;
}

std::optional<crash_suspicion> quarantine_archive::decode(const stored_object& object) const
{
    auto suspicion = decode_stored_suspicion(object.value, this->time.now());
    if (!suspicion) {
        write_event(log_event::store_object_unreadable,
                    {{"object", object.name}, {"detail", suspicion.error().detail}});
        return std::nullopt;
    }
    return *suspicion;
}

watch_action quarantine_archive::on_listing(const object_listing& listing)
{
    if (listing.is_snapshot && !listing.is_incomplete) {
        this->entries.clear();
    }
    std::vector<crash_suspicion> suspicions;
    for (const auto& object : listing.objects) {
        if (object.deleted) {
            this->entries.erase(object.name);
            continue;
        }
        const auto suspicion = this->decode(object);
        this->entries[object.name] = {object.version, suspicion ? suspicion->ends.size() : 0};
        if (suspicion) {
            suspicions.push_back(*suspicion);
        }
    }
    this->revision = std::max(this->revision, listing.revision);
    this->quarantine.learn_stored(suspicions);
    if (listing.is_snapshot) {
        this->has_snapshot = true;
        write_event(log_event::quarantines_listed,
                    {{"revision", std::to_string(listing.revision)},
                     {"objects", std::to_string(listing.objects.size())},
                     {"usable", std::to_string(suspicions.size())},
                     {"quarantined", std::to_string(this->quarantine.quarantined().size())}});
    }
    return watch_action::continue_watching;
}

void quarantine_archive::on_store_unavailable(const error& /*cause*/) {}

void quarantine_archive::on_store_recovered() {}

} // namespace tanager
