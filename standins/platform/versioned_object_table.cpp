#include "standins/platform/versioned_object_table.h"

namespace tanager::standin {

std::optional<std::uint64_t>
versioned_object_table::write(const std::string& name, versioned_object next, std::uint64_t expected)
{
    const auto current = this->get(name);
    const std::uint64_t version = current ? current->version : 0;
    if (version != expected) {
        return std::nullopt;
    }
    next.name = name;
    next.version = ++this->last_revision;
    this->objects[name] = std::move(next);
    return this->last_revision;
}

std::optional<std::uint64_t>
versioned_object_table::put(const std::string& name, const std::string& value, std::uint64_t expected)
{
    return this->write(name, {{}, 0, false, value}, expected);
}

std::optional<std::uint64_t> versioned_object_table::remove(const std::string& name, std::uint64_t expected)
{
    if (!this->get(name)) {
        return std::nullopt;
    }
    return this->write(name, {{}, 0, true, {}}, expected);
}

std::optional<versioned_object> versioned_object_table::get(const std::string& name) const
{
    const auto found = this->objects.find(name);
    if (found == this->objects.end() || found->second.deleted) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<versioned_object> versioned_object_table::list(const std::string& prefix) const
{
    std::vector<versioned_object> found;
    for (const auto& [name, object] : this->objects) {
        if (name.starts_with(prefix) && !object.deleted) {
            found.push_back(object);
        }
    }
    return found;
}

std::vector<versioned_object> versioned_object_table::changed_since(const std::string& prefix,
                                                                    std::uint64_t since_version) const
{
    std::vector<versioned_object> found;
    for (const auto& [name, object] : this->objects) {
        if (name.starts_with(prefix) && object.version > since_version) {
            found.push_back(object);
        }
    }
    return found;
}

std::uint64_t versioned_object_table::revision() const
{
    return this->last_revision;
}

} // namespace tanager::standin
