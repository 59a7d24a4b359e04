// A backend server as the store's list describes it.
#pragma once

#include "net/types/http_types.h"

#include <cstdint>
#include <string>

namespace tanager {

// What a model engine does with a prompt.
enum class engine_role {
    none,    // not a model engine
    prefill, // reads prompts and hands their KV cache on
    decode   // generates; reads a prompt itself when no KV cache is given
};

struct backend_server {
    std::string id;
    std::string service;
    socket_address address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool is_draining = false;
    engine_role role = engine_role::none;
    std::int64_t incarnation = 0; // differs after each start

    friend bool operator==(const backend_server&, const backend_server&) = default;
};

} // namespace tanager
