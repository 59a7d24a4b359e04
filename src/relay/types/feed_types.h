// What gateways send each other about a feed: the changes of the objects under one prefix of the store.
#pragma once

#include "store/types/stored_object.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace tanager {

// States that nothing changed under a prefix after one revision and up to another, as of a response of the
// store.
struct feed_confirmation {
    std::uint32_t feed = 0;           // hash of the prefix
    std::uint64_t last_change = 0;    // nothing changed after this revision
    std::uint64_t revision = 0;       // and up to this one
    std::chrono::milliseconds age{0}; // since the store's response
    // Since the store was asked. It may have answered late, so only this tells how old the confirmed state
    // is.
    std::chrono::milliseconds asked_age{0};

    friend bool operator==(const feed_confirmation&, const feed_confirmation&) = default;
};

// All changes under a prefix within a range of revisions, as one gateway passes them on.
struct relayed_changes {
    std::string sender;
    std::string prefix;
    object_listing changes;
    bool is_omitted = false; // the changes are too large for a message; the range has some

    friend bool operator==(const relayed_changes&, const relayed_changes&) = default;
};

} // namespace tanager
