#include "fleet/prefix_cache_index.h"

namespace tanager {

namespace {

// An engine's KV cache holds about this many prefixes of some thousand tokens besides the running requests.
constexpr std::size_t max_prefixes_per_engine = 150;

} // namespace

void prefix_cache_index::insert(const std::string& server_id, std::uint64_t prefix_hash)
{
    if (prefix_hash == 0) {
        return;
    }
    auto& engine = this->engines[server_id];
    if (!engine.hashes.insert(prefix_hash).second) {
        return;
    }
    engine.insertion_order.push_back(prefix_hash);
    if (engine.insertion_order.size() > max_prefixes_per_engine) {
        engine.hashes.erase(engine.insertion_order.front());
        engine.insertion_order.pop_front();
    }
}

bool prefix_cache_index::contains(const std::string& server_id, std::uint64_t prefix_hash) const
{
    const auto engine = this->engines.find(server_id);
    return engine != this->engines.end() && engine->second.hashes.contains(prefix_hash);
}

void prefix_cache_index::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->engines, [&](const auto& entry) { return !listed.contains(entry.first); });
}

} // namespace tanager
