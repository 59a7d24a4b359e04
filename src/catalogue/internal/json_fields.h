#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tanager {

// Inclusive range of a numeric field.
struct number_bounds {
    std::uint64_t min;
    std::uint64_t max;
};

// Reads the fields of one JSON object and appends every problem found to a list.
class json_fields {
public:
    // `path` names the object in messages. `object` and `problems` must outlive the reader. A missing or
    // invalid field yields the fallback or an empty value; an invalid one, or a missing required one, adds a
    // problem.
    json_fields(const nlohmann::json& object, std::string path, std::vector<std::string>& problems);

    std::string read_text(const char* name, bool required);
    std::uint64_t read_number(const char* name, std::uint64_t fallback, number_bounds bounds);
    std::chrono::milliseconds read_milliseconds(const char* name, std::chrono::milliseconds fallback);
    bool read_flag(const char* name, bool fallback);
    std::vector<std::string> read_text_list(const char* name);

    // Returns the elements of an array of objects.
    std::vector<nlohmann::json> read_objects(const char* name);

    void add_problem(const std::string& field, const std::string& reason);

    // Adds a problem for each field that was never read.
    void report_unknown();

private:
    const nlohmann::json* find(const char* name);

    const nlohmann::json& object;
    std::string path;
    std::vector<std::string>& problems;
    std::vector<std::string> known_fields;
};

} // namespace tanager
