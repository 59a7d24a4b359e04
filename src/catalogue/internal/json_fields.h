#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tanager {

// The smallest and largest value of a numeric field.
struct number_bounds {
    std::uint64_t min;
    std::uint64_t max;
};

// Reads the fields of one JSON object and collects everything that is wrong with it.
class json_fields {
public:
    // `path` names the object in messages.
    json_fields(const nlohmann::json& object, std::string path, std::vector<std::string>& problems);

    std::string read_text(const char* name, bool required);
    std::uint64_t read_number(const char* name, std::uint64_t fallback, number_bounds bounds);
    std::chrono::milliseconds read_milliseconds(const char* name, std::chrono::milliseconds fallback);
    bool read_flag(const char* name, bool fallback);
    std::vector<std::string> read_text_list(const char* name);

    // Returns the elements of an array of objects.
    std::vector<nlohmann::json> read_objects(const char* name);

    void add_problem(const std::string& field, const std::string& reason);

    // Reports each field that was never read.
    void report_unknown();

private:
    const nlohmann::json* find(const char* name);

    const nlohmann::json& object;
    std::string path;
    std::vector<std::string>& problems;
    std::vector<std::string> known_fields;
};

} // namespace tanager
