#pragma once

#include "base/clock.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace tanager {

// Something that requests have in common, and that may be why servers end under them.
struct request_trait {
    static constexpr std::uint32_t content_specificity = std::numeric_limits<std::uint32_t>::max();

    std::uint64_t fingerprint = 0;
    // The position of a prompt part, since later parts are shared by fewer prompts; the content of a whole
    // request has the highest value. A part is the same in any position.
    std::uint32_t specificity = 0;

    bool is_content() const
    {
        return this->specificity == content_specificity;
    }

    friend bool operator==(const request_trait& left, const request_trait& right)
    {
        return (left <=> right) == 0;
    }

    friend std::strong_ordering operator<=>(const request_trait& left, const request_trait& right)
    {
        return std::pair{left.is_content(), left.fingerprint} <=>
               std::pair{right.is_content(), right.fingerprint};
    }
};

// What a request has in common with others. Nothing here differs between the attempts of one request.
struct request_traits {
    std::uint64_t content = 0;               // equal for all repetitions of the request, whoever sends it
    std::vector<std::uint64_t> prompt_parts; // fingerprints of the parts that prompts share, in their order
    // The content together with the caller's credentials; 0 without credentials. What one caller's requests
    // do to servers is not excused by others with the same content, and new credentials do not hide it.
    std::uint64_t caller_content = 0;

    // Returns the contents, with and without credentials, and all parts.
    std::vector<request_trait> all() const
    {
        std::vector<request_trait> traits{{this->content, request_trait::content_specificity}};
        if (this->caller_content != 0) {
            traits.push_back({this->caller_content, request_trait::content_specificity});
        }
        for (std::uint32_t position = 0; position < this->prompt_parts.size(); ++position) {
            traits.push_back({this->prompt_parts[position], position});
        }
        return traits;
    }

    friend bool operator==(const request_traits&, const request_traits&) = default;
};

// A request at a backend server.
struct running_request {
    request_traits traits;
    time_point sent_at{};
    // The response ended with its connection, so it is complete only if the server lives on.
    bool has_unframed_response = false;
    std::string id{}; // that its caller gave it, for logs

    friend bool operator==(const running_request&, const running_request&) = default;
};

} // namespace tanager
