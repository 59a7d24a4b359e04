#include "catalogue/catalogue.h"

#include "base/digest.h"

#include <algorithm>

namespace tanager {

namespace {

// With more deleted objects than this, the oldest are dropped until about half this number is left.
constexpr std::size_t max_tombstones = 4'096;

template <class map_type>
auto find_shared(const map_type& map, const std::string& key) -> typename map_type::mapped_type
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

std::string name_without_kind(const std::string& object_name)
{
    return object_name.substr(object_name.find('/') + 1);
}

} // namespace

catalogue::catalogue(invariant_monitor& invariants) : invariants(invariants) {}

delta_outcome catalogue::apply(const catalogue_delta& delta)
{
    if (delta.revision <= this->complete_revision) {
        return delta_outcome::not_newer;
    }
    if (!delta.is_snapshot && delta.since > this->complete_revision) {
        return delta_outcome::gap;
    }
    if (delta.is_snapshot) {
        std::map<std::string, catalogue_object> previous;
        previous.swap(this->objects);
        for (const auto& [name, object] : previous) {
            this->remove_entry(name);
        }
        for (const auto& object : delta.objects) {
            const auto before = previous.find(object.name);
            const bool is_newer = before == previous.end() || before->second.revision <= object.revision;
            this->invariants.check(is_newer, invariant::configuration_never_reverts, object.name);
            this->apply_object(is_newer ? object : before->second);
        }
        this->dropped_tombstone_revision = delta.revision;
    } else {
        for (const auto& object : delta.objects) {
            this->apply_object(object);
        }
    }
    this->complete_revision = delta.revision;
    this->drop_old_tombstones();
    for (const auto& callback : this->change_callbacks) {
        callback();
    }
    return delta_outcome::applied;
}

void catalogue::apply_object(const catalogue_object& object)
{
    const auto current = this->objects.find(object.name);
    if (current != this->objects.end() && current->second.revision >= object.revision) {
        return;
    }
    this->remove_entry(object.name);
    this->objects[object.name] = object;
    if (!object.deleted) {
        this->index_entry(object);
    }
}

void catalogue::index_entry(const catalogue_object& object)
{
    const auto parsed = parse_catalogue_entry(object.name, object.json);
    if (!parsed) {
        this->errors_by_entry[object.name] = parsed.error().detail;
        return;
    }
    if (const auto* const member = std::get_if<member_entry>(&*parsed)) {
        this->members_by_name[member->name] = std::make_shared<const member_entry>(*member);
        for (const auto& digest : member->key_digests) {
            this->member_names_by_digest[digest] = member->name;
        }
    } else if (const auto* const pool = std::get_if<pool_entry>(&*parsed)) {
        this->pools_by_name[pool->name] = std::make_shared<const pool_entry>(*pool);
    } else if (const auto* const work = std::get_if<work_entry>(&*parsed)) {
        this->work_by_name[work->name] = std::make_shared<const work_entry>(*work);
    }
}

void catalogue::remove_entry(const std::string& name)
{
    this->errors_by_entry.erase(name);
    const std::string entry_name = name_without_kind(name);
    if (name.starts_with("member/")) {
        std::erase_if(this->member_names_by_digest,
                      [&](const auto& row) { return row.second == entry_name; });
        this->members_by_name.erase(entry_name);
    } else if (name.starts_with("pool/")) {
        this->pools_by_name.erase(entry_name);
    } else if (name.starts_with("work/")) {
        this->work_by_name.erase(entry_name);
    }
}

void catalogue::drop_old_tombstones()
{
    std::vector<std::uint64_t> deletions;
    for (const auto& [name, object] : this->objects) {
        if (object.deleted) {
            deletions.push_back(object.revision);
        }
    }
    if (deletions.size() <= max_tombstones) {
        return;
    }
    std::ranges::sort(deletions);
    const std::uint64_t newest_dropped = deletions.at(deletions.size() - max_tombstones / 2);
    std::erase_if(this->objects, [&](const auto& row) {
        return row.second.deleted && row.second.revision <= newest_dropped;
    });
    this->dropped_tombstone_revision = std::max(this->dropped_tombstone_revision, newest_dropped);
}

catalogue_delta catalogue::changes_since(std::uint64_t since) const
{
    const bool is_snapshot = since < this->dropped_tombstone_revision;
    catalogue_delta delta{since, this->complete_revision, is_snapshot, {}};
    for (const auto& [name, object] : this->objects) {
        const bool is_included = is_snapshot ? !object.deleted : object.revision > since;
        if (is_included) {
            delta.objects.push_back(object);
        }
    }
    return delta;
}

std::uint64_t catalogue::revision() const
{
    return this->complete_revision;
}

std::shared_ptr<const member_entry> catalogue::find_member(const std::string& name) const
{
    return find_shared(this->members_by_name, name);
}

std::shared_ptr<const pool_entry> catalogue::find_pool(const std::string& name) const
{
    return find_shared(this->pools_by_name, name);
}

std::shared_ptr<const work_entry> catalogue::find_work(const std::string& name) const
{
    return find_shared(this->work_by_name, name);
}

std::shared_ptr<const member_entry> catalogue::find_member_by_key(const std::string& key) const
{
    // The timing of a lookup by digest reveals nothing about a key: one changed bit changes the whole digest.
    const std::string digest = sha256_hex(key);
    const auto found = this->member_names_by_digest.find(digest);
    if (found == this->member_names_by_digest.end() || !equal_in_constant_time(found->first, digest)) {
        return nullptr;
    }
    return this->find_member(found->second);
}

std::optional<agent_placement> catalogue::find_agent(const std::string& host) const
{
    for (const auto& [name, pool] : this->pools_by_name) {
        const auto agent = std::ranges::find(pool->agents, host, &pool_agent::host);
        if (agent != pool->agents.end()) {
            return agent_placement{pool, *agent};
        }
    }
    return std::nullopt;
}

std::vector<std::shared_ptr<const pool_entry>> catalogue::pools() const
{
    std::vector<std::shared_ptr<const pool_entry>> all;
    for (const auto& [name, pool] : this->pools_by_name) {
        all.push_back(pool);
    }
    return all;
}

std::vector<std::shared_ptr<const member_entry>> catalogue::members() const
{
    std::vector<std::shared_ptr<const member_entry>> all;
    for (const auto& [name, member] : this->members_by_name) {
        all.push_back(member);
    }
    return all;
}

void catalogue::on_change(std::function<void()> callback)
{
    this->change_callbacks.push_back(std::move(callback));
}

const std::map<std::string, std::string>& catalogue::parse_errors() const
{
    return this->errors_by_entry;
}

} // namespace tanager
