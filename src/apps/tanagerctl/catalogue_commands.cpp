#include "apps/tanagerctl/catalogue_commands.h"

#include "apps/tanagerctl/json_diff.h"
#include "apps/tanagerctl/object_file.h"
#include "store/catalogue_watcher.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

std::string stored_name(const std::string& object_name)
{
    return catalogue_prefix + object_name;
}

exit_code to_exit_code(result_code code)
{
    switch (code) {
    case result_code::version_conflict:
        return exit_code::conflict;
    case result_code::store_unavailable:
    case result_code::store_answer_malformed:
        return exit_code::unavailable;
    case result_code::invalid_argument:
    case result_code::catalogue_invalid:
        return exit_code::usage;
    default:
        return exit_code::failure;
    }
}

// Sets the draining mark of the host's agent in a pool's JSON; returns whether the pool lists the host.
bool mark_draining(nlohmann::json& pool, const std::string& host, bool draining)
{
    for (auto& agent : pool["agents"]) {
        if (agent.value("host", std::string{}) == host) {
            agent["draining"] = draining;
            return true;
        }
    }
    return false;
}

} // namespace

catalogue_commands::catalogue_commands(blocking_object_store& store, std::ostream& out, std::ostream& errors)
    : store(store), out(out), errors(errors)
{
}

exit_code catalogue_commands::print_error(const error& cause)
{
    this->errors << static_cast<int>(cause.code) << ' ' << name_of(cause.code) << ": " << cause.detail
                 << '\n';
    return to_exit_code(cause.code);
}

result<stored_object> catalogue_commands::read_current(const std::string& object_name)
{
    auto current = this->store.get(stored_name(object_name));
    if (!current && current.error().code == result_code::object_unknown) {
        return stored_object{stored_name(object_name), 0, false, "{}"};
    }
    return current;
}

exit_code catalogue_commands::write_object(const std::string& object_name,
                                           const std::string& json,
                                           const stored_object& current)
{
    const auto written = this->store.put(stored_name(object_name), json, current.version);
    if (written) {
        this->out << object_name << ": version " << *written << '\n' << diff_json(current.value, json);
        return exit_code::success;
    }
    if (written.error().code == result_code::version_conflict) {
        const auto newest = this->read_current(object_name);
        this->errors << object_name << ": not written, version " << current.version
                     << " is no longer the newest; another edit won";
        if (newest) {
            this->errors << " as version " << newest->version << "; yours (-) against it (+):\n"
                         << diff_json(json, newest->value);
        }
        this->errors << '\n';
        return exit_code::conflict;
    }
    return this->print_error(written.error());
}

exit_code catalogue_commands::apply_file(const std::string& path,
                                         std::optional<std::uint64_t> expected_version)
{
    const auto file = read_object_file(path);
    if (!file) {
        return this->print_error(file.error());
    }
    auto current = this->read_current(file->object_name);
    if (!current) {
        return this->print_error(current.error());
    }
    if (!expected_version && current->version > 0 && diff_json(current->value, file->json).empty()) {
        this->out << file->object_name << ": unchanged at version " << current->version << '\n';
        return exit_code::success;
    }
    if (expected_version) {
        current->version = *expected_version;
    }
    return this->write_object(file->object_name, file->json, *current);
}

exit_code catalogue_commands::apply(const std::vector<std::string>& paths,
                                    std::optional<std::uint64_t> expected_version)
{
    exit_code outcome = exit_code::success;
    for (const auto& path : paths) {
        const auto code = this->apply_file(path, expected_version);
        outcome = code == exit_code::success ? outcome : code;
    }
    return outcome;
}

exit_code catalogue_commands::diff(const std::vector<std::string>& paths)
{
    for (const auto& path : paths) {
        const auto file = read_object_file(path);
        if (!file) {
            return this->print_error(file.error());
        }
        const auto current = this->read_current(file->object_name);
        if (!current) {
            return this->print_error(current.error());
        }
        this->out << file->object_name << " against version " << current->version << '\n'
                  << diff_json(current->value, file->json);
    }
    return exit_code::success;
}

exit_code catalogue_commands::get(const std::string& object_name)
{
    const auto current = this->store.get(stored_name(object_name));
    if (!current) {
        return this->print_error(current.error());
    }
    this->out << current->value << '\n';
    this->errors << object_name << ": version " << current->version << '\n';
    return exit_code::success;
}

exit_code catalogue_commands::list()
{
    const auto listing = this->store.list(catalogue_prefix);
    if (!listing) {
        return this->print_error(listing.error());
    }
    const std::string prefix = catalogue_prefix;
    for (const auto& object : listing->objects) {
        this->out << object.name.substr(prefix.size()) << " version " << object.version << '\n';
    }
    this->out << "revision " << listing->revision << '\n';
    return exit_code::success;
}

exit_code catalogue_commands::remove(const std::string& object_name)
{
    const auto current = this->store.get(stored_name(object_name));
    if (!current) {
        return this->print_error(current.error());
    }
    const auto removed = this->store.remove(stored_name(object_name), current->version);
    if (!removed) {
        return this->print_error(removed.error());
    }
    this->out << object_name << ": removed at version " << *removed << '\n';
    return exit_code::success;
}

exit_code catalogue_commands::set_draining(const std::string& host, bool draining)
{
    const auto listing = this->store.list(stored_name("pool/"));
    if (!listing) {
        return this->print_error(listing.error());
    }
    const std::string prefix = catalogue_prefix;
    for (const auto& object : listing->objects) {
        auto pool = nlohmann::json::parse(object.value, nullptr, false);
        if (pool.is_object() && mark_draining(pool, host, draining)) {
            return this->write_object(object.name.substr(prefix.size()), pool.dump(2), object);
        }
    }
    return this->print_error({result_code::object_unknown, "no pool lists the host " + host});
}

} // namespace tanager
