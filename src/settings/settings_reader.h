// Reads an INI file and reports all of its problems at once.
#pragma once

#include "base/types/result.h"
#include "settings/types/settings_problem.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tanager {

// Section and name of a key.
struct settings_key {
    std::string section;
    std::string name;

    friend auto operator<=>(const settings_key&, const settings_key&) = default;
};

// Inclusive range of an integer key.
struct integer_range {
    std::int64_t min;
    std::int64_t max;
};

// Typed access to one parsed file. Reading a key also declares it; `problems` reports keys in the file that
// were never read as unknown, with the nearest declared key. A key without a value counts as missing. A read
// function returns its fallback if the key is missing or invalid, and adds a problem if it is invalid, or a
// fatal one if it is required.
class settings_reader {
public:
    // Parses a file. Fails with settings_unreadable if it cannot be opened; other errors are left to
    // `problems`.
    static result<settings_reader> open(const std::string& path);

    // Parses a text; problems give `name` as the file.
    static settings_reader parse(const std::string& name, const std::string& text);

    std::string read_text(const settings_key& key, const std::string& fallback);
    std::string read_required_text(const settings_key& key);
    std::int64_t read_integer(const settings_key& key, std::int64_t fallback, integer_range range);
    // Reads a decimal number from 0 to `max`.
    double read_decimal(const settings_key& key, double fallback, double max);
    // Reads a number of milliseconds, which is rounded up if it has a fraction.
    std::chrono::milliseconds
    read_milliseconds(const settings_key& key, std::chrono::milliseconds fallback, integer_range range);
    // Reads a number of seconds, fractions allowed, from 0 to `max`.
    std::chrono::milliseconds
    read_seconds(const settings_key& key, std::chrono::milliseconds fallback, std::chrono::seconds max);
    bool read_flag(const settings_key& key, bool fallback);
    std::string read_choice(const settings_key& key,
                            const std::string& fallback,
                            const std::vector<std::string>& choices);
    std::vector<std::string> read_list(const settings_key& key);

    // Reads an IPv4 endpoint `a.b.c.d:port`; an empty fallback makes the key required.
    std::string read_address(const settings_key& key, const std::string& fallback);

    // Returns all problems found by parsing and reading so far, unknown keys included.
    std::vector<settings_problem> problems() const;

    // Adds a problem that the caller found, for example one that involves several keys.
    void add_problem(const settings_key& key, const std::string& reason);

private:
    explicit settings_reader(std::string file_name);

    // Callback of the INI parser; `user_data` is the settings_reader. Returns 1 to continue.
    static int add_value(void* user_data, const char* section, const char* name, const char* value);
    void add_fatal_problem(const settings_key& key, const std::string& reason);
    // Returns the value of a key if it is a number from `min` to `max`, and otherwise nothing.
    std::optional<double> read_number(const settings_key& key, double min, double max);
    // Declares a key and returns its value, or null if the file has none for it.
    const std::string* find(const settings_key& key);
    std::string describe_unknown(const settings_key& key) const;

    std::string file;
    std::map<settings_key, std::string> values;
    std::map<settings_key, bool> declared_keys;
    std::vector<settings_problem> found_problems;
};

// Returns whether a text is `a.b.c.d:port` with a port from 0 to 65535.
bool is_ipv4_endpoint(const std::string& text);

} // namespace tanager
