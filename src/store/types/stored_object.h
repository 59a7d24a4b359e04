// Objects and hosts as the platform's object API returns them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// One version of one object. The version is the store-wide revision of the write that created it, in its era
// (see store/types/fencing_token.h); 0 if it could not be read.
struct stored_object {
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;

    friend bool operator==(const stored_object&, const stored_object&) = default;
};

// Objects under a prefix at `revision`: all of them if `is_snapshot`, else those changed after revision
// `since`. If `is_incomplete`, the store holds more objects than could be listed, so that an object which is
// missing in the snapshot may still exist.
struct object_listing {
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    bool is_snapshot = false;
    std::vector<stored_object> objects;
    bool is_incomplete = false;

    friend bool operator==(const object_listing&, const object_listing&) = default;
};

enum class host_state { live, leaving };

struct listed_host {
    std::string host;
    std::string data_centre;
    std::string group; // "entry" for entry hosts, else the name of the pool
    host_state state = host_state::live;

    friend bool operator==(const listed_host&, const listed_host&) = default;
};

} // namespace tanager
