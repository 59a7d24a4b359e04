#pragma once

#include "base/random_source.h"
#include "gateway/crash_quarantine.h"
#include "store/object_watcher.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace tanager {

// Keeps quarantines in the store, so that they outlast every gateway, and learns from there what others have
// written. An object has the ends that make its trait be quarantined, also where others explain some of them.
// While the store is unavailable, writes are tried again until they are done or no longer needed.
class quarantine_archive final : public object_watch_handler, public quarantine_recorder {
public:
    static constexpr const char* prefix = "quarantines/";

    // The references must outlive the archive.
    quarantine_archive(const clock& time,
                       random_source& random,
                       object_store& store,
                       crash_quarantine& quarantine);
    ~quarantine_archive() override;
    quarantine_archive(const quarantine_archive&) = delete;
    quarantine_archive& operator=(const quarantine_archive&) = delete;
    quarantine_archive(quarantine_archive&&) = delete;
    quarantine_archive& operator=(quarantine_archive&&) = delete;

    // Returns whether a snapshot of the quarantines has been taken over.
    bool is_known() const;

    void record(const crash_suspicion& suspicion, write_urgency urgency) override;
    void remove(const request_trait& trait, write_urgency urgency) override;

    // Finds quarantines that the store lacks, and starts the writes that are due; to be called several times
    // a second.
    void check();

    std::uint64_t known_revision() const override;
    watch_action on_listing(const object_listing& listing) override;
    void on_store_unavailable(const error& cause) override;
    void on_store_recovered() override;

private:
    struct stored_entry {
        std::uint64_t version = 0;
        std::size_t ends = 0;
    };

    struct pending_write {
        std::optional<std::string> value; // none to remove the object
        std::size_t ends = 0;             // in the value
        time_point due;
        std::uint64_t number = 0; // tells a write from a later one of the same object
    };

    void schedule(const std::string& name, pending_write write, write_urgency urgency);
    bool is_stored(const std::string& name, std::size_t ends) const;
    void find_missing();
    void start_due_writes();
    bool is_needed(const std::string& name, const pending_write& write) const;
    void call(const std::string& name, const pending_write& write);
    void finish(const std::string& name, const pending_write& write, const result<std::uint64_t>& written);
    std::optional<crash_suspicion> decode(const stored_object& object) const;

    const clock& time;
    random_source& random;
    object_store& store;
    crash_quarantine& quarantine;
    std::map<std::string, stored_entry> entries; // of the store, by name
    std::map<std::string, pending_write> writes; // by name
    std::set<std::string> called_names;          // of the objects whose write has no result yet
    std::uint64_t last_number = 0;
    time_point searched_at;
    std::uint64_t revision = 0;
    bool has_snapshot = false;
    std::shared_ptr<char> lifetime = std::make_shared<char>();
};

} // namespace tanager
