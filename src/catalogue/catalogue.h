// This process's copy of the catalogue: always the complete state at one revision of the store.
#pragma once

#include "base/invariant_monitor.h"
#include "catalogue/types/catalogue_entry.h"
#include "catalogue/types/catalogue_object.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace tanager {

// Result of applying a delta.
enum class delta_outcome {
    applied,
    not_newer, // the catalogue is already at that revision or a later one
    gap        // changes before the delta are missing; request the changes since the catalogue's own revision
};

// The pool of one agent and the agent's entry in it.
struct agent_placement {
    std::shared_ptr<const pool_entry> pool;
    pool_agent agent;
};

class catalogue {
public:
    explicit catalogue(invariant_monitor& invariants);

    // Applies a delta if it is newer than the catalogue's own revision and leaves no gap.
    delta_outcome apply(const catalogue_delta& delta);

    // Returns the changes after revision `since`, or a snapshot if deletions after `since` are no longer
    // kept.
    catalogue_delta changes_since(std::uint64_t since) const;

    // Returns the revision of the store up to which this catalogue is complete; 0 before the first delta.
    std::uint64_t revision() const;

    // The find functions below return null or nullopt if there is no valid entry.
    std::shared_ptr<const member_entry> find_member(const std::string& name) const;
    std::shared_ptr<const pool_entry> find_pool(const std::string& name) const;
    std::shared_ptr<const work_entry> find_work(const std::string& name) const;

    // Returns the member that owns a bearer key. Timing reveals nothing about valid keys.
    std::shared_ptr<const member_entry> find_member_by_key(const std::string& key) const;

    std::optional<agent_placement> find_agent(const std::string& host) const;

    std::vector<std::shared_ptr<const pool_entry>> pools() const;
    std::vector<std::shared_ptr<const member_entry>> members() const;

    // Registers a callback that runs after each applied delta.
    void on_change(std::function<void()> callback);

    // Returns the parse errors of invalid entries in the store, by object name.
    const std::map<std::string, std::string>& parse_errors() const;

private:
    void apply_object(const catalogue_object& object);
    void index_entry(const catalogue_object& object);
    void remove_entry(const std::string& name);
    void drop_old_tombstones();

    invariant_monitor& invariants;
    std::uint64_t complete_revision = 0;
    // Deletions up to this revision are no longer kept, so peers at an older revision need a snapshot.
    std::uint64_t dropped_tombstone_revision = 0;
    std::map<std::string, catalogue_object> objects;
    std::map<std::string, std::string> errors_by_entry;
    std::unordered_map<std::string, std::shared_ptr<const member_entry>> members_by_name;
    std::unordered_map<std::string, std::shared_ptr<const pool_entry>> pools_by_name;
    std::unordered_map<std::string, std::shared_ptr<const work_entry>> work_by_name;
    std::unordered_map<std::string, std::string> member_names_by_digest;
    std::vector<std::function<void()>> change_callbacks;
};

} // namespace tanager
