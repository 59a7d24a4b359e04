// The commands that read and change the catalogue.
#pragma once

#include "apps/tanagerctl/blocking_object_store.h"
#include "program/types/exit_code.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace tanager {

// Each command writes its output to `out` and its errors to `errors`, and returns the program's exit code.
class catalogue_commands {
public:
    catalogue_commands(blocking_object_store& store, std::ostream& out, std::ostream& errors);

    // Writes entries from files and prints what changed. With `expected_version`, an entry is written only if
    // that is its current version (0: it does not exist).
    exit_code apply(const std::vector<std::string>& paths, std::optional<std::uint64_t> expected_version);

    // Prints what `apply` would change.
    exit_code diff(const std::vector<std::string>& paths);

    exit_code get(const std::string& object_name);
    exit_code list();
    exit_code remove(const std::string& object_name);

    // Sets or clears the draining mark of a host's agent in the pool that lists the host.
    exit_code set_draining(const std::string& host, bool draining);

private:
    exit_code apply_file(const std::string& path, std::optional<std::uint64_t> expected_version);
    exit_code
    write_object(const std::string& object_name, const std::string& json, const stored_object& current);
    exit_code print_error(const error& cause);

    // Reads the current version of an object; an object that does not exist has version 0.
    result<stored_object> read_current(const std::string& object_name);

    blocking_object_store& store;
    std::ostream& out;
    std::ostream& errors;
};

} // namespace tanager
