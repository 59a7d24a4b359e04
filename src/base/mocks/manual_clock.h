#pragma once

#include "base/clock.h"

namespace tanager {

// A clock that advances only when a test calls advance().
class manual_clock final : public clock {
public:
    time_point now() const override
    {
        return this->steady;
    }

    wall_time_point wall_now() const override
    {
        return this->wall;
    }

    void advance(duration step)
    {
        this->steady += step;
        this->wall += std::chrono::duration_cast<wall_time_point::duration>(step);
    }

private:
    time_point steady{std::chrono::hours{1}};
    wall_time_point wall{std::chrono::hours{24}};
};

} // namespace tanager
