#pragma once

#include "store/object_store.h"

namespace tanager {

// Base of fake stores whose tests only list and watch: reads find nothing, and writes fail.
class watch_only_store : public object_store {
public:
    void get(const std::string& name, object_callback callback) override
    {
        callback(fail(result_code::object_unknown, name));
    }

    void put(const std::string& /*name*/,
             const std::string& /*value*/,
             std::uint64_t /*expected*/,
             version_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "not part of this fake"));
    }

    void remove(const std::string& /*name*/, std::uint64_t /*expected*/, version_callback callback) override
    {
        callback(fail(result_code::store_unavailable, "not part of this fake"));
    }

    std::uint64_t known_era() const override
    {
        return 0;
    }
};

} // namespace tanager
