#include "duties/usage_state_codec.h"

#include <nlohmann/json.hpp>

namespace tanager {

using nlohmann::json;

std::string encode_usage_state(const usage_state& state)
{
    auto windows = json::array();
    for (const auto& usage : state.unsent) {
        windows.push_back({{"window", usage.window}, {"counts", usage.counts}});
    }
    return json{{"fixed_through", state.fixed_through}, {"unsent", windows}, {"era", state.era}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

result<usage_state> decode_usage_state(const std::string& text)
{
    if (text.empty()) {
        return usage_state{};
    }
    const auto parsed = json::parse(text, nullptr, false);
    try {
        usage_state state;
        state.fixed_through = parsed.at("fixed_through").get<window_number>();
        state.era = parsed.value("era", std::uint64_t{0});
        for (const auto& row : parsed.at("unsent")) {
            state.unsent.push_back(
                {row.at("window").get<window_number>(), row.at("counts").get<organisation_counts>()});
        }
        return state;
    } catch (const json::exception& failure) {
        return fail(result_code::request_malformed, failure.what());
    }
}

} // namespace tanager
