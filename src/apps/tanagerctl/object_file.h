#pragma once

#include "base/types/result.h"

#include <string>

namespace tanager {

// One catalogue entry in a file `.../<kind>/<name>.json`.
struct object_file {
    std::string object_name; // <kind>/<name>
    std::string json;

    friend bool operator==(const object_file&, const object_file&) = default;
};

// Reads and validates a file. Fails with invalid_argument when it cannot be opened, or with the parser's
// error, such as catalogue_invalid.
result<object_file> read_object_file(const std::string& path);

} // namespace tanager
