#include "quarantine/crash_confirmations.h"

#include <iterator>
#include <utility>

namespace tanager {

crash_confirmations::crash_confirmations(const clock& time, duration timeout) : time(time), timeout(timeout)
{
}

void crash_confirmations::await_confirmations(const crash_report& report,
                                              std::set<std::uint64_t> entries,
                                              std::function<void()> on_confirmed)
{
    this->pending.push_back(
        {report, std::move(entries), this->time.now() + this->timeout, std::move(on_confirmed)});
    this->complete_confirmed();
}

void crash_confirmations::confirm(std::uint64_t entry, const crash_report& report)
{
    for (auto& row : this->pending) {
        if (row.report == report) {
            row.unconfirmed_entries.erase(entry);
        }
    }
    this->complete_confirmed();
}

void crash_confirmations::drop_entry(std::uint64_t entry)
{
    for (auto& row : this->pending) {
        row.unconfirmed_entries.erase(entry);
    }
    this->complete_confirmed();
}

void crash_confirmations::expire()
{
    const auto now = this->time.now();
    for (auto& row : this->pending) {
        if (now >= row.expires_at) {
            row.unconfirmed_entries.clear();
        }
    }
    this->complete_confirmed();
}

// Callbacks may add further reports, so complete reports leave the list before any callback is called.
void crash_confirmations::complete_confirmed()
{
    std::list<pending_report> complete;
    for (auto row = this->pending.begin(); row != this->pending.end();) {
        const auto next = std::next(row);
        if (row->unconfirmed_entries.empty()) {
            complete.splice(complete.end(), this->pending, row);
        }
        row = next;
    }
    for (const auto& row : complete) {
        row.on_confirmed();
    }
}

std::size_t crash_confirmations::waiting() const
{
    return this->pending.size();
}

} // namespace tanager
