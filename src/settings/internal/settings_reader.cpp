#include "settings/settings_reader.h"

#include "base/text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <fstream>
#include <ini.h>
#include <iomanip>
#include <optional>
#include <sstream>

namespace tanager {

namespace {

constexpr std::int64_t max_port = 65535;

std::optional<std::int64_t> parse_integer(const std::string& text)
{
    std::int64_t value = 0;
    const char* const end = text.data() + text.size(); // NOLINT(*-pointer-arithmetic)
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

std::string join(const std::vector<std::string>& words)
{
    std::string joined;
    for (const auto& word : words) {
        joined += (joined.empty() ? "" : ", ") + word;
    }
    return joined;
}

} // namespace

bool is_ipv4_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    in_addr parsed{};
    const std::string host = text.substr(0, colon);
    const auto port = parse_integer(text.substr(colon + 1));
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1 && port && *port >= 0 && *port <= max_port;
}

settings_reader::settings_reader(std::string file_name) : file(std::move(file_name)) {}

result<settings_reader> settings_reader::open(const std::string& path)
{
    std::ifstream stream(path);
    if (!stream) {
        return fail(result_code::settings_unreadable, "cannot open " + path);
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(path, text.str());
}

settings_reader settings_reader::parse(const std::string& name, const std::string& text)
{
    settings_reader reader(name);
    const int first_bad_line = ini_parse_string(text.c_str(), &settings_reader::add_value, &reader);
    if (first_bad_line != 0) {
        reader.add_problem({"", "line " + std::to_string(first_bad_line)},
                           "is neither a section nor key = value");
    }
    return reader;
}

int settings_reader::add_value(void* user_data, const char* section, const char* name, const char* value)
{
    auto& reader = *static_cast<settings_reader*>(user_data);
    const settings_key key{section, name};
    const bool is_new = reader.values.emplace(key, value == nullptr ? "" : value).second;
    if (!is_new) {
        reader.add_problem(key, "is given twice");
    }
    return 1;
}

const std::string* settings_reader::find(const settings_key& key)
{
    this->declared_keys[key] = true;
    const auto position = this->values.find(key);
    return position == this->values.end() || position->second.empty() ? nullptr : &position->second;
}

std::string settings_reader::read_text(const settings_key& key, const std::string& fallback)
{
    const std::string* const value = this->find(key);
    return value == nullptr ? fallback : *value;
}

std::string settings_reader::read_required_text(const settings_key& key)
{
    const std::string* const value = this->find(key);
    if (value == nullptr) {
        this->add_fatal_problem(key, "is required");
        return {};
    }
    return *value;
}

std::int64_t
settings_reader::read_integer(const settings_key& key, std::int64_t fallback, integer_range range)
{
    const std::string* const value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    const auto number = parse_integer(*value);
    if (!number) {
        this->add_problem(key, "'" + *value + "' is not a whole number");
        return fallback;
    }
    if (*number < range.min || *number > range.max) {
        const std::string bounds = std::to_string(range.min) + " to " + std::to_string(range.max);
        this->add_problem(key, *value + " is outside " + bounds);
        return fallback;
    }
    return *number;
}

double settings_reader::read_decimal(const settings_key& key, double fallback, double max)
{
    return this->read_number(key, 0, max).value_or(fallback);
}

std::optional<double> settings_reader::read_number(const settings_key& key, double min, double max)
{
    const std::string* const value = this->find(key);
    if (value == nullptr) {
        return std::nullopt;
    }
    double number = 0;
    const char* const end = value->data() + value->size(); // NOLINT(*-pointer-arithmetic)
    const auto parsed = std::from_chars(value->data(), end, number);
    const bool is_number = parsed.ec == std::errc{} && parsed.ptr == end && std::isfinite(number);
    if (!is_number || number < min || number > max) {
        std::ostringstream reason;
        reason << "'" << *value << "' is not a number from " << std::fixed << std::setprecision(0) << min
               << " to " << max;
        this->add_problem(key, reason.str());
        return std::nullopt;
    }
    return number;
}

std::chrono::milliseconds settings_reader::read_milliseconds(const settings_key& key,
                                                             std::chrono::milliseconds fallback,
                                                             integer_range range)
{
    const auto number =
        this->read_number(key, static_cast<double>(range.min), static_cast<double>(range.max));
    return number ? std::chrono::milliseconds{static_cast<std::int64_t>(std::ceil(*number))} : fallback;
}

std::chrono::milliseconds settings_reader::read_seconds(const settings_key& key,
                                                        std::chrono::milliseconds fallback,
                                                        std::chrono::seconds max)
{
    const auto number = this->read_number(key, 0, static_cast<double>(max.count()));
    return number ? std::chrono::ceil<std::chrono::milliseconds>(std::chrono::duration<double>{*number})
                  : fallback;
}

bool settings_reader::read_flag(const settings_key& key, bool fallback)
{
    return this->read_choice(key, fallback ? "true" : "false", {"true", "false"}) == "true";
}

std::string settings_reader::read_choice(const settings_key& key,
                                         const std::string& fallback,
                                         const std::vector<std::string>& choices)
{
    const std::string* const value = this->find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (std::ranges::find(choices, *value) == choices.end()) {
        this->add_problem(key, "'" + *value + "' is none of: " + join(choices));
        return fallback;
    }
    return *value;
}

std::vector<std::string> settings_reader::read_list(const settings_key& key)
{
    const std::string* const value = this->find(key);
    return value == nullptr ? std::vector<std::string>{} : split_list(*value);
}

std::string settings_reader::read_address(const settings_key& key, const std::string& fallback)
{
    const std::string* const value = this->find(key);
    if (value == nullptr) {
        if (fallback.empty()) {
            this->add_fatal_problem(key, "is required");
        }
        return fallback;
    }
    if (!is_ipv4_endpoint(*value)) {
        const auto reason = "'" + *value + "' is not ip:port";
        if (fallback.empty()) {
            this->add_fatal_problem(key, reason);
        } else {
            this->add_problem(key, reason);
        }
        return fallback;
    }
    return *value;
}

void settings_reader::add_problem(const settings_key& key, const std::string& reason)
{
    this->found_problems.push_back({this->file, key.section, key.name, reason});
}

void settings_reader::add_fatal_problem(const settings_key& key, const std::string& reason)
{
    this->found_problems.push_back({this->file, key.section, key.name, reason, true});
}

std::string settings_reader::describe_unknown(const settings_key& key) const
{
    std::vector<std::string> known_keys;
    std::vector<std::string> known_sections;
    for (const auto& [known, is_declared] : this->declared_keys) {
        known_sections.push_back(known.section);
        if (known.section == key.section) {
            known_keys.push_back(known.name);
        }
    }
    if (known_keys.empty()) {
        const auto nearest = nearest_word(key.section, known_sections);
        return "unknown section" + (nearest ? "; did you mean [" + *nearest + "]?" : std::string{});
    }
    const auto nearest = nearest_word(key.name, known_keys);
    return "unknown key" + (nearest ? "; did you mean '" + *nearest + "'?" : std::string{});
}

std::vector<settings_problem> settings_reader::problems() const
{
    std::vector<settings_problem> all = this->found_problems;
    for (const auto& [key, value] : this->values) {
        if (!this->declared_keys.contains(key)) {
            all.push_back({this->file, key.section, key.name, this->describe_unknown(key)});
        }
    }
    return all;
}

} // namespace tanager
