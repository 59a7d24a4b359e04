#include "standins/support/expected_completion.h"

#include "base/digest.h"
#include "base/text.h"

namespace tanager::standin {

std::string expected_token(const std::string& prompt, std::uint32_t index)
{
    constexpr std::size_t shown_digits = 6;
    return to_hex(hash64(prompt, index)).substr(0, shown_digits) + " ";
}

std::string expected_completion(const std::string& prompt, std::uint32_t tokens)
{
    std::string answer;
    for (std::uint32_t index = 0; index < tokens; ++index) {
        answer += expected_token(prompt, index);
    }
    return answer;
}

} // namespace tanager::standin
