// Stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes.
#pragma once

#include "net.h"

#include <condition_variable>
#include <map>
#include <nlohmann/json.hpp>

namespace review {

class object_store {
public:
    object_store();

    std::string address() const;

    // Creates or replaces an object as another writer; `name` is kind/name and `spec` is JSON text that is
    // sent as it is. Returns the time of the acknowledgement.
    steady_time put(const std::string& name, const std::string& spec);
    void remove(const std::string& name);

private:
    struct stored_object {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct change {
        std::uint64_t revision = 0;
        std::string name;
        std::string spec;
        bool deleted = false;
    };

    void serve(connection& peer);
    std::string answer(const http_message& request);
    std::string list(const std::string& kind);
    std::string watch(const std::string& kind, const std::string& query);
    std::string write(const http_message& request, const std::string& name);
    std::string remove_if_current(const std::string& name);
    void add_change(const std::string& name, const std::string& spec, bool deleted);

    std::mutex mutex;
    std::condition_variable changed;
    std::uint64_t revision = 1;
    std::map<std::string, stored_object> objects;
    std::vector<change> changes;
    listener port;
};

} // namespace review
