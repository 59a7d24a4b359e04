#include "apps/tanagerctl/json_diff.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

nlohmann::json flatten(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        return nlohmann::json::object();
    }
    return json.is_object() && json.empty() ? nlohmann::json::object() : json.flatten();
}

} // namespace

std::string diff_json(const std::string& before, const std::string& after)
{
    const auto old_values = flatten(before);
    const auto new_values = flatten(after);
    std::string lines;
    for (const auto& [path, value] : old_values.items()) {
        if (!new_values.contains(path) || new_values[path] != value) {
            lines += "- " + path + ": " + value.dump() + "\n";
        }
    }
    for (const auto& [path, value] : new_values.items()) {
        if (!old_values.contains(path) || old_values[path] != value) {
            lines += "+ " + path + ": " + value.dump() + "\n";
        }
    }
    return lines;
}

} // namespace tanager
