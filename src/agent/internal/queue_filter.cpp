#include "agent/internal/queue_filter.h"

#include "agent/internal/admission_filter.h"

namespace tanager {

namespace {

constexpr std::chrono::milliseconds expiry_interval{10};

} // namespace

queue_filter::queue_filter(event_loop& loop,
                           const clock& time,
                           share_limiter& limiter,
                           const queue_limits& limits,
                           attempt_registry& registry,
                           metrics_registry& metrics,
                           sink<dispatched_attempt>& next)
    : loop(loop), time(time), registry(registry), metrics(metrics), next(next), queue(limiter, time, limits)
{
}

void queue_filter::accept(dispatched_attempt work)
{
    const std::uint64_t ticket = ++this->last_ticket;
    const queued_attempt row{ticket,
                             work.request->member(),
                             work.request->pieces(),
                             work.request->priority(),
                             work.deadline,
                             work.runs_alone};
    const auto queued = this->queue.enqueue(row);
    if (!queued) {
        refuse_attempt(work, this->registry, this->metrics, queued.error());
        return;
    }
    const auto stream = work.stream;
    this->queued_attempts.emplace(ticket, std::move(work));
    stream->on_cancelled([this, ticket] { this->on_cancelled(ticket); });
    this->dispatch_ready();
    if (!this->queued_attempts.empty() && this->expiry_timer == nullptr) {
        this->expiry_timer = this->loop.run_every(expiry_interval, [this] { this->refuse_expired(); });
    }
}

void queue_filter::dispatch_ready()
{
    for (const auto& row : this->queue.dequeue_ready()) {
        auto found = this->queued_attempts.extract(row.ticket);
        dispatched_attempt work = std::move(found.mapped());
        this->metrics.observe_duration(
            "tanager_queue_seconds", work.labels, this->time.now() - work.received_at);
        this->next.accept(std::move(work));
    }
}

void queue_filter::refuse_expired()
{
    for (const auto& row : this->queue.drop_expired()) {
        this->refuse(row.ticket,
                     {result_code::deadline_unreachable, "waited in the queue until its deadline"});
    }
    if (this->queued_attempts.empty()) {
        this->expiry_timer.reset();
    }
}

void queue_filter::on_cancelled(std::uint64_t ticket)
{
    if (this->queue.remove(ticket)) {
        this->refuse(ticket, {result_code::attempt_cancelled, "the entry gave the attempt up"});
    }
}

void queue_filter::refuse(std::uint64_t ticket, const error& cause)
{
    auto found = this->queued_attempts.extract(ticket);
    if (!found.empty()) {
        refuse_attempt(found.mapped(), this->registry, this->metrics, cause);
    }
}

void queue_filter::refuse_all(const error& cause)
{
    for (const auto& row : this->queue.remove_all()) {
        this->refuse(row.ticket, cause);
    }
}

std::size_t queue_filter::size() const
{
    return this->queue.size();
}

} // namespace tanager
