#include "duties/usage_outbox.h"

#include <iterator>

namespace tanager {

namespace {

// Acknowledgements of earlier messages are no longer awaited.
constexpr std::size_t max_unacknowledged = 16;
// Upper bound for the numbers of an entry in a message.
constexpr std::size_t entry_overhead_bytes = 16;
// A minute of windows of five seconds: the time for which the store may be away without loss.
constexpr std::size_t max_windows = 12;

} // namespace

void usage_outbox::record(window_number window, const std::string& organisation)
{
    ++this->windows[window][organisation];
    if (this->windows.size() > max_windows) {
        this->drop_through(this->windows.begin()->first);
    }
}

void usage_outbox::move_later_than(window_number last, window_number target)
{
    while (!this->windows.empty() && this->windows.rbegin()->first > last) {
        const auto later = this->windows.extract(std::prev(this->windows.end()));
        for (const auto& [organisation, count] : later.mapped()) {
            this->windows[target][organisation] += count;
        }
        for (auto& state : this->receivers) {
            std::erase_if(state.acknowledged,
                          [&later](const auto& row) { return row.first.first == later.key(); });
        }
    }
}

void usage_outbox::drop_through(window_number window)
{
    this->windows.erase(this->windows.begin(), this->windows.upper_bound(window));
    for (auto& state : this->receivers) {
        std::erase_if(state.acknowledged, [window](const auto& row) { return row.first.first <= window; });
    }
}

void usage_outbox::set_receiver(receiver role, const std::optional<std::string>& gateway)
{
    auto& state = this->receivers.at(static_cast<std::size_t>(role));
    if (state.gateway != gateway) {
        state = {};
        state.gateway = gateway;
    }
}

usage_batch usage_outbox::next_batch(receiver role, std::size_t max_bytes)
{
    auto& state = this->receivers.at(static_cast<std::size_t>(role));
    usage_batch batch;
    std::size_t bytes = 0;
    for (const auto& [window, counts] : this->windows) {
        for (const auto& [organisation, count] : counts) {
            const auto known = state.acknowledged.find({window, organisation});
            if (known != state.acknowledged.end() && known->second >= count) {
                continue;
            }
            bytes += organisation.size() + entry_overhead_bytes;
            if (bytes > max_bytes) {
                break;
            }
            batch.entries.push_back({window, organisation, count});
        }
    }
    if (batch.entries.empty()) {
        return batch;
    }
    batch.sequence = ++this->last_sequence;
    state.unacknowledged.emplace(batch.sequence, batch.entries);
    if (state.unacknowledged.size() > max_unacknowledged) {
        state.unacknowledged.erase(state.unacknowledged.begin());
    }
    return batch;
}

void usage_outbox::acknowledge(const std::string& gateway, std::uint64_t instance, std::uint64_t sequence)
{
    for (auto& state : this->receivers) {
        const auto sent = state.unacknowledged.find(sequence);
        if (state.gateway != gateway || sent == state.unacknowledged.end()) {
            continue;
        }
        if (state.instance != 0 && state.instance != instance) {
            state.acknowledged.clear();
        }
        state.instance = instance;
        for (const auto& entry : sent->second) {
            auto& known = state.acknowledged[{entry.window, entry.organisation}];
            known = std::max(known, entry.count);
        }
        state.unacknowledged.erase(sent);
    }
}

const std::optional<std::string>& usage_outbox::gateway_of(receiver role) const
{
    return this->receivers.at(static_cast<std::size_t>(role)).gateway;
}

const std::map<window_number, organisation_counts>& usage_outbox::counts() const
{
    return this->windows;
}

} // namespace tanager
