#include "limits/admission_queue.h"

#include <algorithm>

namespace tanager {

admission_queue::admission_queue(share_limiter& limiter, const clock& time, const queue_limits& limits)
    : limiter(limiter), time(time), limits(limits)
{
}

result<void> admission_queue::enqueue(const queued_attempt& attempt)
{
    auto fits = this->limiter.check(attempt.member, attempt.pieces);
    if (!fits && fits.error().code == result_code::request_too_large_for_pool) {
        return fits;
    }
    if (attempt.deadline <= this->time.now()) {
        return fail(result_code::deadline_unreachable, "the deadline has passed");
    }
    const bool is_full = this->waiting.size() >= this->limits.max_requests ||
                         this->count_waiting(attempt.member) >= this->limits.max_requests_per_member;
    if (is_full) {
        return fail(result_code::agent_queue_full, std::to_string(this->waiting.size()) + " requests wait");
    }
    const auto position = std::ranges::find_if(
        this->waiting, [&](const queued_attempt& other) { return other.priority < attempt.priority; });
    this->waiting.insert(position, attempt);
    return {};
}

std::vector<queued_attempt> admission_queue::dequeue_ready()
{
    std::vector<queued_attempt> ready;
    for (auto attempt = this->waiting.begin(); attempt != this->waiting.end();) {
        if (this->limiter.acquire(attempt->member, attempt->pieces, attempt->exclusive)) {
            ready.push_back(*attempt);
            attempt = this->waiting.erase(attempt);
        } else if (attempt->exclusive) {
            // Attempts started from behind it would delay it further.
            break;
        } else {
            ++attempt;
        }
    }
    return ready;
}

std::vector<queued_attempt> admission_queue::drop_expired()
{
    std::vector<queued_attempt> expired;
    const auto now = this->time.now();
    std::copy_if(this->waiting.begin(),
                 this->waiting.end(),
                 std::back_inserter(expired),
                 [&](const auto& attempt) { return attempt.deadline <= now; });
    std::erase_if(this->waiting, [&](const auto& attempt) { return attempt.deadline <= now; });
    return expired;
}

bool admission_queue::remove(std::uint64_t ticket)
{
    return std::erase_if(this->waiting, [&](const auto& attempt) { return attempt.ticket == ticket; }) > 0;
}

std::vector<queued_attempt> admission_queue::remove_all()
{
    std::vector<queued_attempt> all(this->waiting.begin(), this->waiting.end());
    this->waiting.clear();
    return all;
}

std::size_t admission_queue::size() const
{
    return this->waiting.size();
}

std::size_t admission_queue::count_waiting(const std::string& member) const
{
    return static_cast<std::size_t>(std::ranges::count(this->waiting, member, &queued_attempt::member));
}

} // namespace tanager
