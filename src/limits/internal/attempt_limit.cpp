#include "limits/attempt_limit.h"

#include <algorithm>

namespace tanager {

attempt_limit::attempt_limit(std::uint32_t max_attempts, bool is_repeatable)
    : max_attempts(is_repeatable ? max_attempts : std::min(max_attempts, 1U))
{
}

bool attempt_limit::may_run() const
{
    return this->used < this->max_attempts;
}

bool attempt_limit::may_prefill_and_run() const
{
    const std::uint32_t needed = this->prefills == 0 ? 1 : 2;
    return this->used + needed <= this->max_attempts;
}

bool attempt_limit::has_prefilled() const
{
    return this->prefills > 0;
}

void attempt_limit::begin_run()
{
    ++this->used;
}

void attempt_limit::refund_run()
{
    --this->used;
}

void attempt_limit::begin_prefill()
{
    this->used += this->prefills == 0 ? 0 : 1;
    ++this->prefills;
}

void attempt_limit::refund_prefill()
{
    --this->prefills;
    this->used -= this->prefills == 0 ? 0 : 1;
}

std::uint32_t attempt_limit::attempts_used() const
{
    return this->used;
}

} // namespace tanager
