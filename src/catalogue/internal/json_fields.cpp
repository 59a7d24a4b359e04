#include "catalogue/internal/json_fields.h"

#include "base/text.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr number_bounds millisecond_bounds{1, 3'600'000};

} // namespace

json_fields::json_fields(const nlohmann::json& object, std::string path, std::vector<std::string>& problems)
    : object(object), path(std::move(path)), problems(problems)
{
}

void json_fields::add_problem(const std::string& field, const std::string& reason)
{
    this->problems.push_back(this->path + "." + field + ": " + reason);
}

const nlohmann::json* json_fields::find(const char* name)
{
    this->known_fields.emplace_back(name);
    const auto field = this->object.find(name);
    return field == this->object.end() ? nullptr : &*field;
}

std::string json_fields::read_text(const char* name, bool required)
{
    const auto* const field = this->find(name);
    if (field == nullptr) {
        if (required) {
            this->add_problem(name, "is required");
        }
        return {};
    }
    if (!field->is_string() || (required && field->get_ref<const std::string&>().empty())) {
        this->add_problem(name, "is not a text");
        return {};
    }
    return field->get<std::string>();
}

std::uint64_t json_fields::read_number(const char* name, std::uint64_t fallback, number_bounds bounds)
{
    const auto* const field = this->find(name);
    if (field == nullptr) {
        return fallback;
    }
    const bool in_bounds = field->is_number_unsigned() && field->get<std::uint64_t>() >= bounds.min &&
                           field->get<std::uint64_t>() <= bounds.max;
    if (!in_bounds) {
        this->add_problem(name,
                          "is not a whole number from " + std::to_string(bounds.min) + " to " +
                              std::to_string(bounds.max));
        return fallback;
    }
    return field->get<std::uint64_t>();
}

std::chrono::milliseconds json_fields::read_milliseconds(const char* name, std::chrono::milliseconds fallback)
{
    const auto count =
        this->read_number(name, static_cast<std::uint64_t>(fallback.count()), millisecond_bounds);
    return std::chrono::milliseconds{count};
}

bool json_fields::read_flag(const char* name, bool fallback)
{
    const auto* const field = this->find(name);
    if (field == nullptr) {
        return fallback;
    }
    if (!field->is_boolean()) {
        this->add_problem(name, "is neither true nor false");
        return fallback;
    }
    return field->get<bool>();
}

std::vector<std::string> json_fields::read_text_list(const char* name)
{
    const auto* const field = this->find(name);
    if (field == nullptr) {
        return {};
    }
    const bool all_texts =
        field->is_array() && std::ranges::all_of(*field, [](const auto& item) { return item.is_string(); });
    if (!all_texts) {
        this->add_problem(name, "is not a list of texts");
        return {};
    }
    return field->get<std::vector<std::string>>();
}

std::vector<nlohmann::json> json_fields::read_objects(const char* name)
{
    const auto* const field = this->find(name);
    if (field == nullptr) {
        return {};
    }
    const bool all_objects =
        field->is_array() && std::ranges::all_of(*field, [](const auto& item) { return item.is_object(); });
    if (!all_objects) {
        this->add_problem(name, "is not a list of objects");
        return {};
    }
    return field->get<std::vector<nlohmann::json>>();
}

void json_fields::report_unknown()
{
    for (const auto& [name, value] : this->object.items()) {
        if (std::ranges::find(this->known_fields, name) != this->known_fields.end()) {
            continue;
        }
        const auto nearest = nearest_word(name, this->known_fields);
        this->add_problem(name, "unknown field" + (nearest ? "; did you mean '" + *nearest + "'?" : ""));
    }
}

} // namespace tanager
