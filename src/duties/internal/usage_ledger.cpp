#include "duties/usage_ledger.h"

#include <algorithm>

namespace tanager {

namespace {

// Bounds the memory when gateways report nonsense.
constexpr std::size_t max_organisations = 10'000;
constexpr std::size_t max_windows = 16;
constexpr std::size_t max_processes = 2'000;

} // namespace

std::uint32_t usage_ledger::number_of(const std::string& organisation)
{
    const auto [row, is_new] = this->organisation_numbers.try_emplace(
        organisation, static_cast<std::uint32_t>(this->organisations.size()));
    if (is_new) {
        this->organisations.push_back(organisation);
    }
    return row->second;
}

bool usage_ledger::record(std::uint64_t instance, const usage_entry& entry)
{
    const bool has_room_for_window =
        this->windows.contains(entry.window) || this->windows.size() < max_windows;
    const bool has_room_for_organisation = this->organisation_numbers.contains(entry.organisation) ||
                                           this->organisations.size() < max_organisations;
    if (entry.window <= this->dropped_through || !has_room_for_window || !has_room_for_organisation) {
        return false;
    }
    auto& processes = this->windows[entry.window];
    if (processes.size() >= max_processes && !processes.contains(instance)) {
        return false;
    }
    auto& counts = processes[instance];
    const auto number = this->number_of(entry.organisation);
    const auto found =
        std::ranges::lower_bound(counts, number, {}, &std::pair<std::uint32_t, std::uint64_t>::first);
    if (found == counts.end() || found->first != number) {
        counts.insert(found, {number, entry.count});
    } else {
        found->second = std::max(found->second, entry.count);
    }
    return true;
}

void usage_ledger::drop_through(window_number window)
{
    this->dropped_through = std::max(this->dropped_through, window);
    this->windows.erase(this->windows.begin(), this->windows.upper_bound(window));
}

std::optional<window_number> usage_ledger::first_window() const
{
    return this->windows.empty() ? std::nullopt : std::optional{this->windows.begin()->first};
}

organisation_counts usage_ledger::counts_in(window_number window) const
{
    organisation_counts sums;
    const auto found = this->windows.find(window);
    if (found == this->windows.end()) {
        return sums;
    }
    for (const auto& [instance, counts] : found->second) {
        for (const auto& [number, count] : counts) {
            sums[this->organisations.at(number)] += count;
        }
    }
    return sums;
}

} // namespace tanager
