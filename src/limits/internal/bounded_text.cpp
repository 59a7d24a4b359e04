#include "limits/bounded_text.h"

namespace tanager {

byte_budget::byte_budget(std::size_t most) : most(most) {}

bool byte_budget::try_take(std::size_t bytes)
{
    if (bytes > this->most - this->taken) {
        return false;
    }
    this->taken += bytes;
    return true;
}

void byte_budget::give_back(std::size_t bytes)
{
    this->taken -= bytes;
}

std::size_t byte_budget::used_bytes() const
{
    return this->taken;
}

bounded_text::bounded_text(byte_budget& budget) : budget(budget) {}

bounded_text::~bounded_text()
{
    this->clear();
}

bool bounded_text::append(std::string_view data)
{
    if (!this->budget.try_take(data.size())) {
        return false;
    }
    this->content += data;
    return true;
}

void bounded_text::clear()
{
    this->budget.give_back(this->content.size());
    this->content = {};
}

const std::string& bounded_text::text() const
{
    return this->content;
}

} // namespace tanager
