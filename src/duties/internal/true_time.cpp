#include "duties/true_time.h"

#include <algorithm>
#include <vector>

namespace tanager {

namespace {

// Two times that differ don't tell which one is wrong.
constexpr std::size_t min_voters = 3;
// Gateways report several times within this while they take requests.
constexpr std::chrono::seconds max_claim_age{10};
// More gateways don't make the median better.
constexpr std::size_t max_claims = 1'000;

} // namespace

true_time::true_time(const clock& time, duration tolerance)
    : time(time), tolerance(tolerance), offset(offset_between(time.now(), time.wall_now()))
{
}

duration true_time::offset_between(time_point steady, wall_time_point wall)
{
    return std::chrono::duration_cast<duration>(wall.time_since_epoch()) - steady.time_since_epoch();
}

wall_time_point true_time::now() const
{
    return wall_time_point{std::chrono::duration_cast<wall_time_point::duration>(
        this->time.now().time_since_epoch() + this->offset)};
}

void true_time::record_claim(const std::string& gateway, wall_time_point claimed)
{
    if (this->claims.size() >= max_claims && !this->claims.contains(gateway)) {
        return;
    }
    const auto now = this->time.now();
    this->claims.insert_or_assign(gateway, time_claim{offset_between(now, claimed), now});
}

bool true_time::correct_to(duration new_offset)
{
    if (std::chrono::abs(new_offset - this->offset) <= this->tolerance) {
        return false;
    }
    this->offset = new_offset;
    return true;
}

bool true_time::record_agreed(wall_time_point agreed, std::size_t voters)
{
    return voters >= min_voters && this->correct_to(offset_between(this->time.now(), agreed));
}

bool true_time::agree()
{
    const auto now = this->time.now();
    std::erase_if(this->claims,
                  [now](const auto& claim) { return now - claim.second.received_at > max_claim_age; });
    if (this->voters() < min_voters) {
        return false;
    }
    std::vector<duration> offsets{this->offset};
    for (const auto& [gateway, claim] : this->claims) {
        offsets.push_back(claim.offset);
    }
    std::ranges::sort(offsets);
    return this->correct_to(offsets[(offsets.size() - 1) / 2]);
}

std::size_t true_time::voters() const
{
    return this->claims.size() + 1;
}

} // namespace tanager
