#include "bench/load/latency_report.h"

#include <algorithm>
#include <cmath>

namespace tanager {

namespace {

constexpr double median = 0.50;
constexpr double percentile_95 = 0.95;
constexpr double percentile_99 = 0.99;

std::string to_microseconds_text(duration value)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

} // namespace

void latency_report::add(duration value)
{
    this->samples.push_back(value);
}

duration latency_report::percentile(double fraction) const
{
    if (this->samples.empty()) {
        return {};
    }
    std::vector<duration> sorted = this->samples;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
    const auto index = static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, sorted.size()) - 1);
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return sorted.at(static_cast<std::size_t>(index));
}

std::size_t latency_report::count() const
{
    return this->samples.size();
}

std::string latency_report::to_fields(const std::string& name) const
{
    return name + "_p50_us=" + to_microseconds_text(this->percentile(median)) + " " + name +
           "_p95_us=" + to_microseconds_text(this->percentile(percentile_95)) + " " + name +
           "_p99_us=" + to_microseconds_text(this->percentile(percentile_99));
}

} // namespace tanager
