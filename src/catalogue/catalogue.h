// The catalogue as one process knows it: always the complete state at some revision of the store.
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

// What became of a delta.
enum class delta_outcome {
    applied,
    not_newer, // the catalogue is already at that revision or beyond
    gap        // changes in between are missing; pull from the catalogue's own revision
};

// The place of one agent: its pool and its own row there.
struct agent_placement {
    std::shared_ptr<const pool_entry> pool;
    pool_agent agent;
};

class catalogue {
public:
    explicit catalogue(invariant_monitor& invariants);

    // Applies only what is newer than the catalogue's own revision.
    delta_outcome apply(const catalogue_delta& delta);

    // Returns what a process at revision `since` is missing.
    catalogue_delta changes_since(std::uint64_t since) const;

    // Returns the revision of the store that this catalogue is complete up to; 0 before the first delta.
    std::uint64_t revision() const;

    std::shared_ptr<const member_entry> find_member(const std::string& name) const;
    std::shared_ptr<const pool_entry> find_pool(const std::string& name) const;
    std::shared_ptr<const work_entry> find_work(const std::string& name) const;

    // Returns the member that a bearer key belongs to. The time taken does not depend on the key.
    std::shared_ptr<const member_entry> find_member_by_key(const std::string& key) const;

    std::optional<agent_placement> find_agent(const std::string& host) const;

    std::vector<std::shared_ptr<const pool_entry>> pools() const;
    std::vector<std::shared_ptr<const member_entry>> members() const;

    // Called after each applied delta.
    void on_change(std::function<void()> callback);

    // Returns the parse errors of entries that are in the store but unusable.
    const std::map<std::string, std::string>& parse_errors() const;

private:
    void apply_object(const catalogue_object& object);
    void index_entry(const catalogue_object& object);
    void remove_entry(const std::string& name);
    void drop_old_tombstones();

    invariant_monitor& invariants;
    std::uint64_t complete_revision = 0;
    // Deletions up to this revision have been forgotten, so older peers need the whole catalogue.
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
