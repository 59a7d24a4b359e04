#pragma once

#include "gateway/server_pool.h"

namespace tanager {

// Reports no load on any server, as for a gateway that has no peers.
class no_peers final : public peer_load_view {
public:
    load_counts load_of(const std::string& /*server_id*/) const override
    {
        return {};
    }

    std::uint32_t prompts_per_second(const std::string& /*service*/) const override
    {
        return 0;
    }

    bool should_isolate_long_outputs(const std::string& /*service*/) const override
    {
        return false;
    }

    duration report_age() const override
    {
        return {};
    }

    gateways_with_room link_room(duration /*max_wait*/) const override
    {
        return {};
    }

    bool is_changing_role(const std::string& /*server_id*/) const override
    {
        return false;
    }
};

} // namespace tanager
