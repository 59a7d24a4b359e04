// The operators' commands on the catalogue.
#pragma once

#include "apps/tanagerctl/blocking_object_store.h"
#include "program/types/exit_code.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace tanager {

class catalogue_commands {
public:
    catalogue_commands(blocking_object_store& store, std::ostream& out, std::ostream& errors);

    // Writes entries from files, showing what changes. With `expected`, only over that version.
    exit_code apply(const std::vector<std::string>& paths, std::optional<std::uint64_t> expected_version);

    // Shows what `apply` would change.
    exit_code diff(const std::vector<std::string>& paths);

    exit_code get(const std::string& object_name);
    exit_code list();
    exit_code remove(const std::string& object_name);

    // Marks a host's agent as draining, or takes it back.
    exit_code set_draining(const std::string& host, bool draining);

private:
    exit_code apply_file(const std::string& path, std::optional<std::uint64_t> expected_version);
    exit_code
    write_object(const std::string& object_name, const std::string& json, const stored_object& current);
    exit_code print_error(const error& cause);

    // Reads the standing version; one that does not exist has version 0.
    result<stored_object> read_current(const std::string& object_name);

    blocking_object_store& store;
    std::ostream& out;
    std::ostream& errors;
};

} // namespace tanager
