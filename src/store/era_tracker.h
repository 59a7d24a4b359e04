// Decides which answers of a store count, by the era that each of them states.
#pragma once

#include "base/types/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanager {

// Load pattern: the store comes back from a copy while calls are under way on several connections, so that
// answers of the earlier era arrive after the first one of the new era.
//
// An era never falls: an answer of an earlier one is as good as none, and so is one without a readable era
// once eras are known, since nothing tells whether its revisions are newer or older than those known. A store
// that has stated no era is in era 0.
class era_tracker {
public:
    // Returns the era of an answer, which states it as `text` (empty if it does not); fails with
    // store_unavailable if the answer does not count.
    result<std::uint64_t> judge(std::string_view text);

    // Returns the highest era of any answer so far.
    std::uint64_t known_era() const;

private:
    std::optional<std::uint64_t> highest;
};

} // namespace tanager
