#include "quarantine/crash_history.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::size_t max_kept_reports = 4'096;
constexpr std::size_t max_exchanged_reports = 256;
constexpr int min_crashes_to_quarantine = 2;

} // namespace

crash_history::crash_history(const clock& time, duration retention) : time(time), retention(retention) {}

bool crash_history::record(const crash_report& report)
{
    const bool is_new = this->reports.emplace(report, timed_report{this->time.now(), false}).second;
    if (this->reports.size() > max_kept_reports) {
        const auto oldest = std::ranges::min_element(
            this->reports, {}, [](const auto& row) { return row.second.recorded_at; });
        this->reports.erase(oldest);
    }
    return is_new;
}

void crash_history::clear_request(std::uint64_t fingerprint)
{
    for (auto& [report, row] : this->reports) {
        row.cleared = row.cleared || report.fingerprint == fingerprint;
    }
}

quarantine_verdict crash_history::verdict_of(std::uint64_t fingerprint) const
{
    const auto now = this->time.now();
    const auto crashes = std::ranges::count_if(this->reports, [&](const auto& row) {
        const bool counts = !row.second.cleared && now - row.second.recorded_at <= this->retention;
        return counts && row.first.fingerprint == fingerprint;
    });
    if (crashes == 0) {
        return quarantine_verdict::clean;
    }
    return crashes < min_crashes_to_quarantine ? quarantine_verdict::suspect
                                               : quarantine_verdict::quarantined;
}

std::vector<crash_report> crash_history::recent() const
{
    std::vector<std::pair<time_point, crash_report>> by_time;
    for (const auto& [report, row] : this->reports) {
        if (!row.cleared) {
            by_time.emplace_back(row.recorded_at, report);
        }
    }
    std::ranges::sort(by_time, std::greater<>{});
    std::vector<crash_report> newest;
    for (const auto& [recorded_at, report] : by_time) {
        if (newest.size() == max_exchanged_reports) {
            break;
        }
        newest.push_back(report);
    }
    return newest;
}

void crash_history::remove_expired()
{
    const auto now = this->time.now();
    std::erase_if(this->reports,
                  [&](const auto& row) { return now - row.second.recorded_at > this->retention; });
}

} // namespace tanager
