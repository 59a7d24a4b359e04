#include "fleet/prefix_cache_index.h"

namespace tanager {

namespace {

// The KV cache of an engine with a large memory holds about this many prefixes of some thousand tokens.
constexpr std::size_t max_prefixes_per_engine = 400;

} // namespace

bool prefix_cache_index::insert(const backend_server& engine, std::uint32_t prefix_hash)
{
    if (prefix_hash == 0) {
        return false;
    }
    auto& row = this->engines[engine.id];
    if (row.incarnation != engine.incarnation || row.role != engine.role) {
        row = {{}, {}, engine.incarnation, engine.role};
    }
    const auto known = row.positions.find(prefix_hash);
    if (known != row.positions.end()) {
        row.by_last_use.splice(row.by_last_use.end(), row.by_last_use, known->second);
        return false;
    }
    row.positions.emplace(prefix_hash, row.by_last_use.insert(row.by_last_use.end(), prefix_hash));
    if (row.by_last_use.size() > max_prefixes_per_engine) {
        row.positions.erase(row.by_last_use.front());
        row.by_last_use.pop_front();
    }
    return true;
}

void prefix_cache_index::remove(const backend_server& engine, std::uint32_t prefix_hash)
{
    const auto row = this->engines.find(engine.id);
    if (row == this->engines.end()) {
        return;
    }
    const auto known = row->second.positions.find(prefix_hash);
    if (known != row->second.positions.end()) {
        row->second.by_last_use.erase(known->second);
        row->second.positions.erase(known);
    }
}

bool prefix_cache_index::contains(const backend_server& engine, std::uint32_t prefix_hash) const
{
    const auto row = this->engines.find(engine.id);
    return row != this->engines.end() && row->second.incarnation == engine.incarnation &&
           row->second.role == engine.role && row->second.positions.contains(prefix_hash);
}

void prefix_cache_index::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->engines, [&](const auto& entry) { return !listed.contains(entry.first); });
}

} // namespace tanager
