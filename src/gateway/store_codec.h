// Decodes the configuration and the server list from objects in the platform's store.
#pragma once

#include "base/types/result.h"
#include "fleet/types/backend_server.h"
#include "routes/types/route_table.h"
#include "store/object_store.h"

#include <string>

namespace tanager {

class store_codec {
public:
    store_codec() = default;
    store_codec(const store_codec&) = delete;
    store_codec& operator=(const store_codec&) = delete;
    store_codec(store_codec&&) = delete;
    store_codec& operator=(store_codec&&) = delete;
    virtual ~store_codec() = default;

    // The prefixes to watch, and the name of the object under `configuration_prefix` that holds the current
    // configuration.
    virtual std::string configuration_prefix() const = 0;
    virtual std::string configuration_object_name() const = 0;
    virtual std::string server_prefix() const = 0;

    // Fails with configuration_invalid.
    virtual result<route_table> decode_configuration(const stored_object& object) const = 0;

    // Fails with object_unknown when the entry describes no usable server.
    virtual result<backend_server> decode_server(const stored_object& object) const = 0;
};

} // namespace tanager
