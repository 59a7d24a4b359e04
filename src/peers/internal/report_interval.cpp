#include "peers/report_interval.h"

#include <algorithm>

namespace tanager {

namespace {

// A slot is occupied for tens of milliseconds, so load is reported at about a tenth of that.
constexpr std::chrono::milliseconds min_report_interval{5};
constexpr std::size_t max_peers_at_full_rate = 6;
// The share of the link's time that reports may take, as a divisor.
constexpr int link_time_per_report_time = 12;
// A slot is occupied for tens of milliseconds; the older the peers' views, the fewer slots they dare to take.
constexpr std::chrono::milliseconds max_slow_link_interval{50};

} // namespace

duration min_time_between_reports(std::size_t peer_count, duration transmission_time)
{
    const duration for_peers =
        min_report_interval * std::max<std::size_t>(1, peer_count / max_peers_at_full_rate);
    const duration for_link =
        std::min<duration>(transmission_time * link_time_per_report_time, max_slow_link_interval);
    return std::max(for_peers, for_link);
}

} // namespace tanager
