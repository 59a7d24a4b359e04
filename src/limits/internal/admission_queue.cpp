#include "limits/admission_queue.h"

#include <algorithm>

namespace tanager {

admission_queue::admission_queue(share_limiter& ledger, const clock& time, const queue_limits& bounds)
    : ledger(ledger), time(time), bounds(bounds)
{
}

result<void> admission_queue::enqueue(const queued_attempt& work)
{
    auto fits = this->ledger.check(work.member, work.pieces);
    if (!fits && fits.error().code == result_code::request_too_large_for_pool) {
        return fits;
    }
    if (work.deadline <= this->time.now()) {
        return fail(result_code::deadline_unreachable, "the deadline has passed");
    }
    const bool is_full = this->waiting.size() >= this->bounds.max_requests ||
                         this->waiting_of(work.member) >= this->bounds.max_requests_per_member;
    if (is_full) {
        return fail(result_code::agent_queue_full, std::to_string(this->waiting.size()) + " requests wait");
    }
    const auto behind = std::ranges::find_if(
        this->waiting, [&](const queued_attempt& other) { return other.priority < work.priority; });
    this->waiting.insert(behind, work);
    return {};
}

std::vector<queued_attempt> admission_queue::dequeue_ready()
{
    std::vector<queued_attempt> started;
    for (auto work = this->waiting.begin(); work != this->waiting.end();) {
        if (this->ledger.acquire(work->member, work->pieces, work->alone)) {
            started.push_back(*work);
            work = this->waiting.erase(work);
        } else if (work->alone) {
            // Whatever started behind it would keep it waiting.
            break;
        } else {
            ++work;
        }
    }
    return started;
}

std::vector<queued_attempt> admission_queue::drop_expired()
{
    std::vector<queued_attempt> dropped;
    const auto now = this->time.now();
    std::copy_if(this->waiting.begin(),
                 this->waiting.end(),
                 std::back_inserter(dropped),
                 [&](const auto& work) { return work.deadline <= now; });
    std::erase_if(this->waiting, [&](const auto& work) { return work.deadline <= now; });
    return dropped;
}

bool admission_queue::remove(std::uint64_t ticket)
{
    return std::erase_if(this->waiting, [&](const auto& work) { return work.ticket == ticket; }) > 0;
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

std::size_t admission_queue::waiting_of(const std::string& member) const
{
    return static_cast<std::size_t>(std::ranges::count(this->waiting, member, &queued_attempt::member));
}

} // namespace tanager
