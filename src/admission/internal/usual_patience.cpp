#include "admission/usual_patience.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::size_t remembered = 64;
// In an overload up to half of the requests are second attempts, and a few callers have more time than
// others.
constexpr std::size_t usual_rank = remembered * 3 / 4;

} // namespace

void usual_patience::record(std::chrono::milliseconds patience)
{
    if (this->recent.size() < remembered) {
        this->recent.push_back(patience);
    } else {
        this->recent[this->next] = patience;
        this->next = (this->next + 1) % remembered;
    }
    if (this->recent.size() < remembered) {
        return;
    }
    auto sorted = this->recent;
    const auto middle = sorted.begin() + usual_rank;
    std::ranges::nth_element(sorted, middle);
    this->usual = *middle;
}

std::chrono::milliseconds usual_patience::spent_before(std::chrono::milliseconds patience) const
{
    return std::max(this->usual - patience, std::chrono::milliseconds{0});
}

} // namespace tanager
