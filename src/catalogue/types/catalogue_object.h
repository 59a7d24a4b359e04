#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace tanager {

// One version of one catalogue entry as stored; `revision` is the store's revision of the write.
struct catalogue_object {
    std::string name;
    std::uint64_t revision = 0;
    bool deleted = false;
    std::string json;

    friend bool operator==(const catalogue_object&, const catalogue_object&) = default;
};

// Changes that turn the catalogue at revision `since`, or any later one, into the catalogue at `revision`.
struct catalogue_delta {
    std::uint64_t since = 0;
    std::uint64_t revision = 0;
    bool is_snapshot = false; // the objects are the whole catalogue rather than changes
    std::vector<catalogue_object> objects;

    friend bool operator==(const catalogue_delta&, const catalogue_delta&) = default;
};

} // namespace tanager
