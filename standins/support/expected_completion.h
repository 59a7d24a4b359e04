// The text that the engine stand-in generates. It depends on the prompt, so that a caller can distinguish its
// own completion from any other.
#pragma once

#include <cstdint>
#include <string>

namespace tanager::standin {

// Returns the token at `index` (from 0) of the completion of a prompt.
std::string expected_token(const std::string& prompt, std::uint32_t index);

// Returns the first `tokens` tokens of the completion of a prompt.
std::string expected_completion(const std::string& prompt, std::uint32_t tokens);

} // namespace tanager::standin
