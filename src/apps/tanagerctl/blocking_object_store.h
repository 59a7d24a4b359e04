#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"
#include "store/http_object_store.h"

#include <memory>
#include <string>

namespace tanager {

// Blocking client of the object API: each call runs the event loop until the response has arrived.
class blocking_object_store {
public:
    // `platform_address` is the object API's ip:port.
    static result<std::unique_ptr<blocking_object_store>> create(const std::string& platform_address);

    result<stored_object> get(const std::string& name);
    result<object_listing> list(const std::string& prefix);

    // Writes the object if its version is still `expected_version`, and returns the new version. If the
    // response is lost, reads the object back and returns its version if the write took effect, or else the
    // original error.
    result<std::uint64_t>
    put(const std::string& name, const std::string& value, std::uint64_t expected_version);

    // Removes the object if its version is still `expected_version`.
    result<std::uint64_t> remove(const std::string& name, std::uint64_t expected_version);

private:
    explicit blocking_object_store(std::unique_ptr<event_loop> loop, const socket_address& platform);

    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_object_store> store;
};

} // namespace tanager
