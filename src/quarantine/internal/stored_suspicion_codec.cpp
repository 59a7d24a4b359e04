#include "quarantine/stored_suspicion_codec.h"

#include "base/text.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

namespace tanager {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t max_stored_ends = 64;
// Longer than any suspicion counts.
constexpr std::uint64_t max_age_ms = 86'400'000;

std::int64_t to_milliseconds(duration span)
{
    return std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count(), 0);
}

// Returns nothing if the field is missing or is not a hexadecimal number of 64 bits.
std::optional<std::uint64_t> read_hex(const nlohmann::json& object, const char* name)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_string()) {
        return std::nullopt;
    }
    const auto& text = field->get_ref<const std::string&>();
    const auto* const end = std::to_address(text.end());
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), end, value, hexadecimal);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{value} : std::nullopt;
}

std::optional<std::uint64_t> read_number(const nlohmann::json& object, const char* name, std::uint64_t max)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_number_unsigned()) {
        return std::nullopt;
    }
    return std::min(field->get<std::uint64_t>(), max);
}

std::optional<server_end> read_end(const nlohmann::json& object, time_point now)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto server = read_hex(object, "server");
    const auto ended_ms_ago = read_number(object, "ended_ms_ago", max_age_ms);
    const auto ran_ms = read_number(object, "ran_ms", max_age_ms);
    const auto refused = object.find("refused");
    if (!server || !ended_ms_ago || !ran_ms || refused == object.end() || !refused->is_boolean()) {
        return std::nullopt;
    }
    const auto ended_at = now - std::chrono::milliseconds{*ended_ms_ago};
    return server_end{*server, refused->get<bool>(), ended_at, ended_at - std::chrono::milliseconds{*ran_ms}};
}

} // namespace

std::string stored_suspicion_name(const request_trait& trait)
{
    return (trait.is_content() ? "content-" : "part-") + to_hex(trait.fingerprint);
}

std::string encode_stored_suspicion(const crash_suspicion& suspicion, time_point now)
{
    auto ends = nlohmann::json::array();
    for (const auto& end : suspicion.unexcused_ends()) {
        ends.push_back({{"server", to_hex(end.server)},
                        {"refused", end.is_confirmed},
                        {"ended_ms_ago", to_milliseconds(now - end.ended_at)},
                        {"ran_ms", to_milliseconds(end.ended_at - end.sent_at)}});
    }
    const nlohmann::json object{{"fingerprint", to_hex(suspicion.trait.fingerprint)},
                                {"specificity", suspicion.trait.specificity},
                                {"age_ms", suspicion.age.count()},
                                {"ends", std::move(ends)}};
    return object.dump();
}

result<crash_suspicion> decode_stored_suspicion(std::string_view text, time_point now)
{
    const auto malformed = fail(result_code::request_malformed, "not a crash suspicion");
    const auto object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return malformed;
    }
    const auto fingerprint = read_hex(object, "fingerprint");
    const auto specificity = read_number(object, "specificity", request_trait::content_specificity);
    const auto age_ms = read_number(object, "age_ms", max_age_ms);
    const auto ends = object.find("ends");
    if (!fingerprint || !specificity || !age_ms || ends == object.end() || !ends->is_array() ||
        ends->size() > max_stored_ends) {
        return malformed;
    }
    crash_suspicion suspicion{
        {*fingerprint, static_cast<std::uint32_t>(*specificity)}, {}, std::chrono::milliseconds{*age_ms}};
    for (const auto& each : *ends) {
        const auto end = read_end(each, now);
        if (!end) {
            return malformed;
        }
        suspicion.ends.push_back(*end);
    }
    return suspicion;
}

} // namespace tanager
