// Adds up the counts that gateways report, by window.
#pragma once

#include "duties/types/usage_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tanager {

// Load pattern: hundreds of gateways report hundreds of organisations twice a second, and are killed and
// restarted in turn. Each process of a gateway counts by itself; of its reports only the largest count
// matters.
class usage_ledger {
public:
    // Records a count of the process with this number. Returns false if it comes too late.
    bool record(std::uint64_t instance, const usage_entry& entry);

    // Removes the windows up to and including this one, which are fixed, and takes no counts for them.
    void drop_through(window_number window);

    // Returns the earliest window with counts.
    std::optional<window_number> first_window() const;

    // Returns the sum over all processes.
    organisation_counts counts_in(window_number window) const;

private:
    using process_counts = std::vector<std::pair<std::uint32_t, std::uint64_t>>; // by number of organisation

    std::uint32_t number_of(const std::string& organisation);

    std::map<window_number, std::map<std::uint64_t, process_counts>> windows;
    std::map<std::string, std::uint32_t> organisation_numbers;
    std::vector<std::string> organisations;
    window_number dropped_through = 0;
};

} // namespace tanager
