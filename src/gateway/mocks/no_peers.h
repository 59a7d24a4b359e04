#pragma once

#include "gateway/server_pool.h"

namespace tanager {

// The other gateways of a site that has none.
class nobody_else final : public elsewhere_view {
public:
    own_load on_server(const std::string& /*server_id*/) const override
    {
        return {};
    }

    std::uint32_t prompts_per_second(const std::string& /*service*/) const override
    {
        return 0;
    }

    bool spares_long_outputs(const std::string& /*service*/) const override
    {
        return false;
    }

    duration age() const override
    {
        return {};
    }

    bool is_changing(const std::string& /*server_id*/) const override
    {
        return false;
    }
};

} // namespace tanager
