#include "uplink/sending_plan.h"

namespace tanager {

namespace {

// Requests that take no more than this share of their latency objective on the link do not wait for it.
constexpr double max_unpaced_ratio = 0.01;
// The queue in the kernel, which no urgent request can overtake, stays within this share of the objective of
// the long requests. The most urgent routes have objectives of a quarter of those of long prompts.
constexpr double max_link_queue_ratio = 0.125;
// A prompt is sent twice only if that and the queue take no more than this share of its objective, so that
// the engines keep nearly all of it.
constexpr double max_twice_ratio = 0.1;

} // namespace

sending_plan::sending_plan(const uplink_queue_model& link) : link(link) {}

duration sending_plan::max_link_queue(duration latency_objective)
{
    return std::chrono::duration_cast<duration>(max_link_queue_ratio * latency_objective);
}

bool sending_plan::is_long(const link_demand& demand, const send_delay& delay) const
{
    return delay.own > max_unpaced_ratio * demand.latency_objective;
}

bool sending_plan::may_send_now(const link_demand& demand) const
{
    const auto delay = this->link.estimate_send_delay(demand.request_bytes);
    return !this->is_long(demand, delay) || delay.queued <= max_link_queue(demand.latency_objective);
}

bool sending_plan::can_carry_in_time(const link_demand& demand) const
{
    const auto delay = this->link.estimate_send_delay(demand.request_bytes);
    return !this->is_long(demand, delay) || this->expected_wait(demand.bytes_ahead) <= demand.time_to_start;
}

bool sending_plan::may_send_twice(const link_demand& demand) const
{
    const auto delay = this->link.estimate_send_delay(demand.request_bytes);
    return !this->is_long(demand, delay) ||
           delay.queued + 2 * delay.own <= max_twice_ratio * demand.latency_objective;
}

duration sending_plan::expected_wait(std::size_t bytes_ahead) const
{
    return this->link.estimate_send_delay(bytes_ahead).total();
}

} // namespace tanager
