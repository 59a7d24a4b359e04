#include "quarantine/completion_history.h"

#include <utility>

namespace tanager {

completion_history::completion_history(std::size_t min_parts) : min_parts(min_parts) {}

void completion_history::record(std::uint64_t part, time_point now)
{
    this->recent[part] = now;
    if (this->recent.size() >= this->min_parts) {
        this->older = std::exchange(this->recent, {});
    }
}

std::optional<time_point> completion_history::last_completion(std::uint64_t part) const
{
    for (const auto* const times : {&this->recent, &this->older}) {
        if (const auto found = times->find(part); found != times->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace tanager
