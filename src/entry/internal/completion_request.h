#pragma once

#include "base/types/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace tanager {

// The parameters of a completion request that an entry uses.
struct completion_parameters {
    std::string work_name; // `model` in the request
    std::uint64_t prompt_bytes = 0;
    std::uint32_t max_tokens = 0; // 0 when the caller set none
    bool is_streaming = false;
    std::uint64_t prefix_hash = 0; // of the first 1,024 bytes of the prompt

    friend bool operator==(const completion_parameters&, const completion_parameters&) = default;
};

// The completion endpoint that a body was sent to.
enum class completion_kind { text, chat };

// A validated completion request.
class completion_request {
public:
    // Fails with request_malformed, field_missing or field_invalid, naming the field.
    static result<completion_request> parse(const std::string& text, completion_kind kind);

    const completion_parameters& parameters() const;

    // Returns the body for a backend server, with `model` and `max_tokens` replaced.
    std::string render_backend_body(const std::string& model, std::uint32_t max_tokens) const;

private:
    completion_request(completion_parameters parameters, nlohmann::json body);

    completion_parameters parsed_parameters;
    nlohmann::json body;
};

} // namespace tanager
