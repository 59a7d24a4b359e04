#include "limits/attempt_limit.h"

#include <algorithm>

namespace tanager {

attempt_limit::attempt_limit(std::uint32_t most, bool is_repeatable)
    : most(is_repeatable ? most : std::min(most, 1U))
{
}

bool attempt_limit::may_run() const
{
    return this->counted < this->most;
}

bool attempt_limit::may_prefill_and_run() const
{
    const std::uint32_t needed = this->readings == 0 ? 1 : 2;
    return this->counted + needed <= this->most;
}

void attempt_limit::begin_run()
{
    ++this->counted;
}

void attempt_limit::refund_run()
{
    --this->counted;
}

void attempt_limit::begin_prefill()
{
    this->counted += this->readings == 0 ? 0 : 1;
    ++this->readings;
}

void attempt_limit::refund_prefill()
{
    --this->readings;
    this->counted -= this->readings == 0 ? 0 : 1;
}

std::uint32_t attempt_limit::attempts_used() const
{
    return this->counted;
}

} // namespace tanager
