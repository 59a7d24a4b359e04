#pragma once

#include "entry/internal/agent_directory.h"

namespace tanager {

// Decides when a new entry may serve: after it has read the store, or, while the store is away, once it holds
// the highest revision that several agents know of.
class catalogue_readiness {
public:
    catalogue_readiness(const catalogue& local_catalogue,
                        const agent_directory& directory,
                        std::size_t seed_agents);

    // Records that the store has been read.
    void set_store_read();

    // Returns whether the entry may serve; once it may, it stays so.
    bool update();

private:
    const catalogue& local_catalogue;
    const agent_directory& directory;
    std::size_t min_reporting_agents;
    bool is_store_read = false;
    bool is_ready = false;
};

} // namespace tanager
