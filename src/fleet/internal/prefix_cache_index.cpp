#include "fleet/prefix_cache_index.h"

namespace tanager {

namespace {

// An engine's memory holds about as many shared parts of some thousand tokens beside the running requests.
constexpr std::size_t parts_per_engine = 150;

} // namespace

void prefix_cache_index::insert(const std::string& server_id, std::uint64_t shared_key)
{
    if (shared_key == 0) {
        return;
    }
    auto& engine = this->engines[server_id];
    if (!engine.held.insert(shared_key).second) {
        return;
    }
    engine.order.push_back(shared_key);
    if (engine.order.size() > parts_per_engine) {
        engine.held.erase(engine.order.front());
        engine.order.pop_front();
    }
}

bool prefix_cache_index::contains(const std::string& server_id, std::uint64_t shared_key) const
{
    const auto engine = this->engines.find(server_id);
    return engine != this->engines.end() && engine->second.held.contains(shared_key);
}

void prefix_cache_index::keep_only(const std::set<std::string>& listed)
{
    std::erase_if(this->engines, [&](const auto& row) { return !listed.contains(row.first); });
}

} // namespace tanager
