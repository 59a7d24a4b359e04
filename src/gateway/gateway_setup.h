// Assembles the gateway, the process that forwards callers' requests directly to backend servers.
#pragma once

#include "duties/usage_codec.h"
#include "gateway/request_codec.h"
#include "gateway/store_codec.h"
#include "gateway/types/gateway_settings.h"
#include "net/http_client.h"
#include "program/program_runner.h"
#include "roles/engine_codec.h"

#include <functional>
#include <memory>

namespace tanager {

// The codecs and the store client of one platform.
struct platform_adapter {
    std::unique_ptr<request_codec> caller_codec;
    std::unique_ptr<store_codec> object_codec;
    std::unique_ptr<engine_codec> engines;
    std::function<std::unique_ptr<object_store>(event_loop&, http_client&, const socket_address&)> make_store;
    std::unique_ptr<usage_codec> usage;
    std::string usage_duty; // its name in the settings; usage is reported if they list it
    std::string readiness_path;
};

// Returns a gateway that listens on its addresses; fails when an address is invalid or cannot be bound.
result<std::unique_ptr<server_process>>
create_gateway(event_loop& loop, const gateway_settings& settings, platform_adapter platform);

} // namespace tanager
