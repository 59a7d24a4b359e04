#pragma once

#include <string>

namespace tanager {

// One problem in a settings file.
struct settings_problem {
    std::string file;
    std::string section;
    std::string key;
    std::string reason;
    bool is_fatal = false; // the key has no default that a program could run with

    friend bool operator==(const settings_problem&, const settings_problem&) = default;
};

// Formats a problem as one line: `file: [section] key: reason`.
inline std::string to_text(const settings_problem& problem)
{
    return problem.file + ": [" + problem.section + "] " + problem.key + ": " + problem.reason;
}

} // namespace tanager
