#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanager::standin {

struct versioned_object {
    std::string name;
    std::uint64_t version = 0;
    bool deleted = false;
    std::string value;
};

// Objects whose versions come from one common counter. Deleted objects stay as tombstones.
class versioned_object_table {
public:
    // Writes only if the current version is `expected` (0: no such object). Returns the new version, or
    // nothing if another version is current.
    std::optional<std::uint64_t>
    put(const std::string& name, const std::string& value, std::uint64_t expected);
    std::optional<std::uint64_t> remove(const std::string& name, std::uint64_t expected);

    // Returns nothing if the object was deleted or never written.
    std::optional<versioned_object> get(const std::string& name) const;

    std::vector<versioned_object> list(const std::string& prefix) const;
    std::vector<versioned_object> changed_since(const std::string& prefix, std::uint64_t since_version) const;

    std::uint64_t revision() const;

private:
    std::optional<std::uint64_t>
    write(const std::string& name, versioned_object next, std::uint64_t expected);

    std::map<std::string, versioned_object> objects;
    std::uint64_t last_revision = 0;
};

} // namespace tanager::standin
