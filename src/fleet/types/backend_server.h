// A backend server as described by its entry in the store.
#pragma once

#include "net/types/http_types.h"

#include <cstdint>
#include <string>

namespace tanager {

// The part that a model engine has in prefill disaggregation.
enum class engine_role {
    none,    // not a model engine
    prefill, // processes prompts and transfers their KV cache to decode engines
    decode   // generates; prefills a prompt itself when it receives no KV cache
};

struct backend_server {
    std::string id;
    std::string service;
    socket_address address;
    std::string data_centre;
    std::uint32_t slots = 1; // requests that it runs at once
    bool is_draining = false;
    engine_role role = engine_role::none;
    std::int64_t incarnation = 0; // differs after each restart

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace tanager
