// Reads an INI file as a whole and reports everything that is wrong with it at once.
#pragma once

#include "base/types/result.h"
#include "settings/types/settings_problem.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanager {

// A key's place in the file.
struct settings_key {
    std::string section;
    std::string name;

    friend auto operator<=>(const settings_key&, const settings_key&) = default;
};

// The smallest and largest value that an integer key accepts.
struct integer_range {
    std::int64_t min;
    std::int64_t max;
};

// Typed access to one parsed file. Reading a key also declares it: keys in the file that were never read are
// unknown and reported by `problems` with the nearest known one.
class settings_reader {
public:
    // Parses a file. Fails with settings_unreadable when it cannot be opened.
    static result<settings_reader> open(const std::string& path);

    // Parses a text; `name` stands in for the file in problems.
    static settings_reader parse(const std::string& name, const std::string& text);

    std::string read_text(const settings_key& key, const std::string& fallback);
    std::string read_required_text(const settings_key& key);
    std::int64_t read_integer(const settings_key& key, std::int64_t fallback, integer_range range);
    // Reads a decimal from 0 to `highest`.
    double read_decimal(const settings_key& key, double fallback, double max);
    std::chrono::milliseconds
    read_milliseconds(const settings_key& key, std::chrono::milliseconds fallback, integer_range range);
    bool read_flag(const settings_key& key, bool fallback);
    std::string read_choice(const settings_key& key,
                            const std::string& fallback,
                            const std::vector<std::string>& choices);
    std::vector<std::string> read_list(const settings_key& key);

    // Reads `ip:port`; an empty fallback makes the key required.
    std::string read_address(const settings_key& key, const std::string& fallback);

    // Returns every problem found by parsing and reading, unknown keys included.
    std::vector<settings_problem> problems() const;

    // Adds a problem that spans several keys.
    void add_problem(const settings_key& key, const std::string& reason);

private:
    explicit settings_reader(std::string file_name);

    static int add_value(void* user_data, const char* section, const char* name, const char* value);
    const std::string* find(const settings_key& key);
    std::string describe_unknown(const settings_key& key) const;

    std::string file;
    std::map<settings_key, std::string> values;
    std::map<settings_key, bool> declared_keys;
    std::vector<settings_problem> found_problems;
};

// Returns whether a text is `a.b.c.d:port`.
bool is_ipv4_endpoint(const std::string& text);

} // namespace tanager
