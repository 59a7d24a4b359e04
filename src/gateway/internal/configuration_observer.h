#pragma once

#include "gateway/store_codec.h"
#include "routes/route_directory.h"
#include "store/object_watcher.h"

namespace tanager {

// Applies each newer configuration in the store to the routes.
class configuration_observer final : public object_watch_handler {
public:
    configuration_observer(const store_codec& codec, route_directory& routes);

    std::uint64_t known_revision() const override;
    watch_action on_listing(const object_listing& listing) override;
    void on_store_unavailable(const error& cause) override;
    void on_store_recovered() override;

    // Returns whether the newest configuration that the store has passed on is in force.
    bool is_newest_in_force() const;

private:
    bool apply(const stored_object& object);

    const store_codec& codec;
    route_directory& routes;
    std::uint64_t revision = 0;
    bool is_newest_rejected = false;
};

} // namespace tanager
