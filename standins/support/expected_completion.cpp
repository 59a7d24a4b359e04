#include "standins/support/expected_completion.h"

#include "base/digest.h"
#include "base/text.h"

namespace tanager::standin {

std::string expected_token(const std::string& prompt, std::uint32_t index)
{
    constexpr std::size_t digits_per_token = 6;
    return to_hex(hash64(prompt, index)).substr(0, digits_per_token) + " ";
}

std::string expected_completion(const std::string& prompt, std::uint32_t tokens)
{
    std::string completion;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        completion += expected_token(prompt, index);
    }
    return completion;
}

} // namespace tanager::standin
