// Decides which organisation's request goes first when not all can be served.
#pragma once

#include "base/clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace tanager {

// Load pattern: for some seconds, 79 organisations ask for three times the room. A few of them are large. One
// asks for several times what it usually does, or its callers repeat rejected requests at once, and takes
// the room from the others if requests are served in the order of arrival.
//
// Each organisation is entitled to room in proportion to its usual use, at least to a quarter of what it asks
// for now, and whoever has had the smallest part of its entitlement lately goes first. What one does not use
// the others get. A gateway sees a few requests a second of one organisation; over the time for which usual
// use is measured these are some dozens, so a gateway needs no counts of its peers. Requests of no
// organisation count as those of one more.
class organisation_shares {
public:
    explicit organisation_shares(const clock& time);

    void record_arrival(const std::string& organisation);
    void record_start(const std::string& organisation);

    // Returns the rank of an organisation's request behind `queued_before` other requests of it; the lowest
    // goes first.
    double rank(const std::string& organisation, std::size_t queued_before) const;

    // Returns the number of organisations that are counted, which is bounded.
    std::size_t size() const;

private:
    // A count whose entries fade out with a time constant.
    struct fading_count {
        double value = 0;
        time_point updated_at;

        double at(time_point now, duration time_constant) const;
        void add(time_point now, duration time_constant);
    };

    struct use {
        time_point first_seen;
        time_point last_seen;
        fading_count usual_arrivals;
        fading_count recent_arrivals;
        fading_count recent_starts;
    };

    use& use_of(const std::string& organisation);
    double entitled_per_second(const use& known) const;

    const clock& time;
    std::map<std::string, use> uses;
};

} // namespace tanager
