#include "apps/tanagerctl/blocking_object_store.h"

#include <optional>

namespace tanager {

namespace {

// Runs the event loop until the callback that is passed to `start` is called; returns the callback's
// argument.
template <class value_type, class start_type>
result<value_type> wait_for(event_loop& loop, const start_type& start)
{
    std::optional<result<value_type>> outcome;
    start([&](const result<value_type>& value) {
        outcome = value;
        loop.stop();
    });
    loop.run();
    return *outcome;
}

} // namespace

blocking_object_store::blocking_object_store(std::unique_ptr<event_loop> loop, const socket_address& platform)
    : loop(std::move(loop)),
      client(http_client::create(*this->loop)),
      store(http_object_store::create(*this->client, platform, {}))
{
}

result<std::unique_ptr<blocking_object_store>>
blocking_object_store::create(const std::string& platform_address)
{
    const auto platform = parse_address(platform_address);
    if (!platform) {
        return tl::make_unexpected(platform.error());
    }
    auto loop = event_loop::create();
    if (!loop) {
        return tl::make_unexpected(loop.error());
    }
    return std::unique_ptr<blocking_object_store>(
        new blocking_object_store(std::move(*loop), *platform)); // NOLINT(*-owning-memory)
}

result<stored_object> blocking_object_store::get(const std::string& name)
{
    return wait_for<stored_object>(*this->loop, [&](auto callback) { this->store->get(name, callback); });
}

result<object_listing> blocking_object_store::list(const std::string& prefix)
{
    return wait_for<object_listing>(*this->loop, [&](auto callback) { this->store->list(prefix, callback); });
}

result<std::uint64_t>
blocking_object_store::put(const std::string& name, const std::string& value, std::uint64_t expected_version)
{
    auto written = wait_for<std::uint64_t>(
        *this->loop, [&](auto callback) { this->store->put(name, value, expected_version, callback); });
    if (written || written.error().code != result_code::store_unavailable) {
        return written;
    }
    const auto current = this->get(name);
    const bool took_effect = current && current->version > expected_version && current->value == value;
    return took_effect ? result<std::uint64_t>{current->version} : written;
}

result<std::uint64_t> blocking_object_store::remove(const std::string& name, std::uint64_t expected_version)
{
    return wait_for<std::uint64_t>(
        *this->loop, [&](auto callback) { this->store->remove(name, expected_version, callback); });
}

} // namespace tanager
