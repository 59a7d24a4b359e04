#pragma once

#include "net/event_loop.h"
#include "net/http_client.h"
#include "store/http_object_store.h"

#include <memory>
#include <string>

namespace tanager {

// The object API for a command line: each call runs the loop until its answer is there.
class blocking_object_store {
public:
    static result<std::unique_ptr<blocking_object_store>> create(const std::string& platform_address);

    result<stored_object> get(const std::string& name);
    result<object_listing> list(const std::string& prefix);

    // Writes if the version still is `expected`. When the answer is lost, reads back whether the write took
    // effect, so that the answer is either the new version or a failure that says what stands.
    result<std::uint64_t>
    put(const std::string& name, const std::string& value, std::uint64_t expected_version);
    result<std::uint64_t> remove(const std::string& name, std::uint64_t expected_version);

private:
    explicit blocking_object_store(std::unique_ptr<event_loop> loop, const socket_address& platform);

    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_object_store> store;
};

} // namespace tanager
