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
    this->schedule(name_of(suspicion.trait), encode_stored_suspicion(suspicion, this->time.now()), urgency);
}

void quarantine_archive::remove(const request_trait& trait, write_urgency urgency)
{
    this->schedule(name_of(trait), std::nullopt, urgency);
}

// Replaces an earlier write of the object, and waits for the result of one that has been called.
void quarantine_archive::schedule(const std::string& name,
                                  std::optional<std::string> value,
                                  write_urgency urgency)
{
    auto due = this->time.now();
    if (urgency == write_urgency::unless_done_by_others) {
        due += min_delay_for_others + std::chrono::milliseconds{this->random.next() % delay_spread_ms};
    }
    this->writes.insert_or_assign(name, pending_write{std::move(value), due, ++this->last_number});
    if (urgency == write_urgency::now) {
        this->check();
    }
}

bool quarantine_archive::is_needed(const std::string& name, const pending_write& write) const
{
    return write.value.has_value() != this->versions.contains(name);
}

void quarantine_archive::check()
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
    if (write.value) {
        this->store.put(name, *write.value, 0, finished);
        return;
    }
    this->store.remove(name, this->versions.at(name), finished);
}

void quarantine_archive::finish(const std::string& name,
                                const pending_write& write,
                                const result<std::uint64_t>& written)
{
    const bool is_failed = !written && written.error().code == result_code::store_unavailable;
    std::string outcome = is_failed ? "failed" : "done_by_others";
    if (written) {
        outcome = "written";
    }
    write_event(log_event::quarantine_recorded,
                {{"object", name},
                 {"change", write.value ? "created" : "removed"},
                 {"outcome", outcome},
                 {"revision", std::to_string(written.value_or(0))}});
    this->called_names.erase(name);
    if (!is_failed && !write.value) {
        this->versions.erase(name);
    } else if (written) {
        this->versions[name] = *written;
    }
    const auto pending = this->writes.find(name);
    if (pending == this->writes.end() || pending->second.number != write.number) {
        return;
    }
    if (is_failed) {
        pending->second.due = this->time.now() + retry_delay;
        return;
    }
    this->writes.erase(pending);
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
    if (listing.is_snapshot) {
        this->versions.clear();
    }
    std::vector<crash_suspicion> suspicions;
    for (const auto& object : listing.objects) {
        if (object.deleted) {
            this->versions.erase(object.name);
            continue;
        }
        this->versions[object.name] = object.version;
        if (const auto suspicion = this->decode(object)) {
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
