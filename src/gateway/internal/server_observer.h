#pragma once

#include "fleet/server_list.h"
#include "gateway/store_codec.h"
#include "store/object_watcher.h"

namespace tanager {

// Applies the server entries in the store to the server list.
class server_observer final : public object_watch_handler {
public:
    server_observer(const store_codec& codec, server_list& servers);

    // Returns whether a snapshot of the entries has been applied.
    bool is_known() const;

    std::uint64_t known_revision() const override;
    watch_action on_listing(const object_listing& listing) override;
    void on_store_unavailable(const error& cause) override;
    void on_store_recovered() override;

private:
    void apply_all(const object_listing& listing);
    void apply(const stored_object& object);
    std::optional<backend_server> decode(const stored_object& object) const;

    const store_codec& codec;
    server_list& servers;
    std::uint64_t revision = 0;
    bool has_snapshot = false;
};

} // namespace tanager
