#include "uplink/uplink.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr double bytes_per_megabit = 125'000;
// Bytes on the wire per byte of payload: TCP and IP headers in packets of about 1,500 bytes.
constexpr double framing_factor = 1.05;

} // namespace

uplink_queue_model::uplink_queue_model(const clock& time, double megabits_per_second)
    : time(time), bytes_per_second(megabits_per_second * bytes_per_megabit), queue_empty_at(time.now())
{
}

duration uplink_queue_model::transmission_time(std::size_t bytes) const
{
    if (this->bytes_per_second <= 0) {
        return duration{0};
    }
    const std::chrono::duration<double> needed{static_cast<double>(bytes) * framing_factor /
                                               this->bytes_per_second};
    return std::chrono::duration_cast<duration>(needed);
}

void uplink_queue_model::record_sent(std::size_t bytes)
{
    this->queue_empty_at = std::max(this->queue_empty_at, this->time.now()) + this->transmission_time(bytes);
}

send_delay uplink_queue_model::estimate_send_delay(std::size_t bytes) const
{
    return {std::max(this->queue_empty_at - this->time.now(), duration{0}), this->transmission_time(bytes)};
}

} // namespace tanager
