#include "quarantine/crash_confirmations.h"

#include <iterator>
#include <utility>

namespace tanager {

crash_confirmations::crash_confirmations(const clock& time, duration patience)
    : time(time), patience(patience)
{
}

void crash_confirmations::await_confirmations(const crash_report& report,
                                              std::set<std::uint64_t> entries,
                                              std::function<void()> confirmed)
{
    this->pending.push_back(
        {report, std::move(entries), this->time.now() + this->patience, std::move(confirmed)});
    this->call_complete();
}

void crash_confirmations::confirm(std::uint64_t entry, const crash_report& report)
{
    for (auto& row : this->pending) {
        if (row.report == report) {
            row.missing.erase(entry);
        }
    }
    this->call_complete();
}

void crash_confirmations::drop_entry(std::uint64_t entry)
{
    for (auto& row : this->pending) {
        row.missing.erase(entry);
    }
    this->call_complete();
}

void crash_confirmations::expire()
{
    const auto now = this->time.now();
    for (auto& row : this->pending) {
        if (now >= row.give_up) {
            row.missing.clear();
        }
    }
    this->call_complete();
}

// Callbacks may expect further reports, so complete rows leave the list before any of them is called.
void crash_confirmations::call_complete()
{
    std::list<pending_report> complete;
    for (auto row = this->pending.begin(); row != this->pending.end();) {
        const auto next = std::next(row);
        if (row->missing.empty()) {
            complete.splice(complete.end(), this->pending, row);
        }
        row = next;
    }
    for (const auto& row : complete) {
        row.confirmed();
    }
}

std::size_t crash_confirmations::waiting() const
{
    return this->pending.size();
}

} // namespace tanager
