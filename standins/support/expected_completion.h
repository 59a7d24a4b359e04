// The text that the engine stand-in generates, so that a caller can tell its own answer from any other.
#pragma once

#include <cstdint>
#include <string>

namespace tanager::standin {

// Returns the i-th token of the answer to a prompt.
std::string expected_token(const std::string& prompt, std::uint32_t index);

// Returns the whole answer.
std::string expected_completion(const std::string& prompt, std::uint32_t tokens);

} // namespace tanager::standin
