#pragma once

#include <cstdint>
#include <vector>

namespace tanager {

// What a request has in common with others. Nothing here differs between the attempts of one request.
struct request_traits {
    std::uint64_t content = 0;               // equal for all repetitions of the request
    std::vector<std::uint64_t> prompt_parts; // fingerprints of the parts that prompts share, in their order

    friend bool operator==(const request_traits&, const request_traits&) = default;
};

} // namespace tanager
