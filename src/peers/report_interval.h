// Decides how often a gateway reports its load to its peers.
#pragma once

#include "base/clock.h"

#include <cstddef>

namespace tanager {

// Returns the minimum time between two reports. `transmission_time` is what one report to all peers takes on
// this host's link, 0 if the link is never the bottleneck.
//
// Load pattern: 26 gateways report fifty times a second to each other; most have a link that a third of
// this traffic would fill. With more peers the interval grows in proportion, so that the cost of reporting
// stays constant, and on a slow link it grows until the reports leave nearly all of the link to requests.
duration min_time_between_reports(std::size_t peer_count, duration transmission_time);

} // namespace tanager
