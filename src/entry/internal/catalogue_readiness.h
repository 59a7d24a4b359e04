#pragma once

#include "entry/internal/agent_directory.h"

namespace tanager {

// Decides when a new entry may serve: after it has read the store or, while the store is unavailable, once
// several agents have reported a revision and the entry's catalogue is at the highest of them.
class catalogue_readiness {
public:
    catalogue_readiness(const catalogue& local_catalogue,
                        const agent_directory& directory,
                        std::size_t seed_agents);

    // Records that the catalogue has been read from the store.
    void set_store_read();

    // Returns whether the entry may serve. Once true, it stays true.
    bool update();

private:
    const catalogue& local_catalogue;
    const agent_directory& directory;
    std::size_t min_reporting_agents;
    bool is_store_read = false;
    bool is_ready = false;
};

} // namespace tanager
