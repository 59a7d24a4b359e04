#pragma once

#include "gateway/crash_quarantine.h"

#include <set>

namespace tanager {

// Accepts connections to all servers but those that the test has ended, and calls back at once.
class fake_server_connector final : public server_connector {
public:
    void try_connect(const socket_address& address, std::function<void(bool is_accepted)> callback) override
    {
        ++this->attempt_count;
        callback(!this->ended.contains(address));
    }

    std::set<socket_address> ended;
    int attempt_count = 0;
};

} // namespace tanager
