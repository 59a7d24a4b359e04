// Finds the organisation that a caller's key belongs to.
#pragma once

#include "organisations/types/organisation.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace tanager {

// Load pattern: every request of a few hundred organisations, with several keys each, needs one lookup. The
// directory is built once for each configuration, and requests share it.
//
// A key that two organisations list belongs to the one that is listed first, on all gateways alike. Of two
// entries with one name, the second is passed over.
class organisation_directory {
public:
    // Adds a line to the list's problems for each entry and key that is passed over.
    static std::shared_ptr<const organisation_directory> create(organisation_list list);

    // Returns null for an unknown key. The timing of a lookup by digest reveals nothing about valid keys.
    const organisation* find_by_key(std::string_view key) const;

    const std::vector<organisation>& organisations() const;

    // Returns whether every entry and key of the configuration could be used. Otherwise an unknown key may
    // be one that was passed over.
    bool is_complete() const;
    const std::vector<std::string>& problems() const;

private:
    explicit organisation_directory(organisation_list list);

    organisation_list list;
    std::unordered_map<std::string, std::size_t> positions_by_digest;
};

} // namespace tanager
