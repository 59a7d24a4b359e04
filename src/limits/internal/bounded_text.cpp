#include "limits/bounded_text.h"

namespace tanager {

byte_budget::byte_budget(std::size_t max_bytes) : max_bytes(max_bytes) {}

bool byte_budget::try_acquire(std::size_t bytes)
{
    if (bytes > this->max_bytes - this->used) {
        return false;
    }
    this->used += bytes;
    return true;
}

void byte_budget::release(std::size_t bytes)
{
    this->used -= bytes;
}

std::size_t byte_budget::used_bytes() const
{
    return this->used;
}

bounded_text::bounded_text(byte_budget& budget) : budget(budget) {}

bounded_text::~bounded_text()
{
    this->clear();
}

bool bounded_text::append(std::string_view data)
{
    if (!this->budget.try_acquire(data.size())) {
        return false;
    }
    this->content += data;
    return true;
}

void bounded_text::clear()
{
    this->budget.release(this->content.size());
    this->content = {};
}

const std::string& bounded_text::text() const
{
    return this->content;
}

} // namespace tanager
