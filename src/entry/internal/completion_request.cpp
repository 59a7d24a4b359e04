#include "entry/internal/completion_request.h"

#include "base/digest.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr std::size_t max_prefix_bytes = 1'024;
constexpr std::uint32_t max_tokens_limit = 1'000'000;

result<std::string> read_prompt(const nlohmann::json& body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end()) {
        return fail(result_code::field_missing, "prompt");
    }
    if (!prompt->is_string()) {
        return fail(result_code::field_invalid, "prompt: is not a text");
    }
    return prompt->get<std::string>();
}

result<std::string> read_messages(const nlohmann::json& body)
{
    const auto messages = body.find("messages");
    if (messages == body.end()) {
        return fail(result_code::field_missing, "messages");
    }
    if (!messages->is_array() || messages->empty()) {
        return fail(result_code::field_invalid, "messages: is not a list with at least one message");
    }
    std::string joined_messages;
    for (const auto& message : *messages) {
        const bool is_message = message.is_object() && message.contains("role") &&
                                message["role"].is_string() && message.contains("content") &&
                                message["content"].is_string();
        if (!is_message) {
            return fail(result_code::field_invalid, "messages: each needs a role and a content");
        }
        joined_messages += message["role"].get_ref<const std::string&>() + "\n";
        joined_messages += message["content"].get_ref<const std::string&>() + "\n";
    }
    return joined_messages;
}

result<std::uint32_t> read_max_tokens(const nlohmann::json& body)
{
    const auto field = body.find("max_tokens");
    if (field == body.end()) {
        return 0U;
    }
    const bool is_in_range = field->is_number_unsigned() && field->get<std::uint64_t>() >= 1 &&
                             field->get<std::uint64_t>() <= max_tokens_limit;
    if (!is_in_range) {
        return fail(result_code::field_invalid, "max_tokens: is not a whole number from 1 to 1000000");
    }
    return field->get<std::uint32_t>();
}

result<bool> read_stream(const nlohmann::json& body)
{
    const auto field = body.find("stream");
    if (field == body.end()) {
        return false;
    }
    if (!field->is_boolean()) {
        return fail(result_code::field_invalid, "stream: is neither true nor false");
    }
    return field->get<bool>();
}

result<std::string> read_model(const nlohmann::json& body)
{
    const auto field = body.find("model");
    if (field == body.end()) {
        return fail(result_code::field_missing, "model");
    }
    if (!field->is_string() || field->get_ref<const std::string&>().empty()) {
        return fail(result_code::field_invalid, "model: is not a text");
    }
    return field->get<std::string>();
}

} // namespace

completion_request::completion_request(completion_parameters parameters, nlohmann::json body)
    : parsed_parameters(std::move(parameters)), body(std::move(body))
{
}

result<completion_request> completion_request::parse(const std::string& text, completion_kind kind)
{
    auto body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return fail(result_code::request_malformed, "the body is not a JSON object");
    }
    const auto model = read_model(body);
    const auto prompt = kind == completion_kind::chat ? read_messages(body) : read_prompt(body);
    const auto max_tokens = read_max_tokens(body);
    const auto stream = read_stream(body);
    for (const auto* const problem : {model ? nullptr : &model.error(),
                                      prompt ? nullptr : &prompt.error(),
                                      max_tokens ? nullptr : &max_tokens.error(),
                                      stream ? nullptr : &stream.error()}) {
        if (problem != nullptr) {
            return tl::make_unexpected(*problem);
        }
    }
    const std::uint64_t prefix_hash = hash64(std::string_view{*prompt}.substr(0, max_prefix_bytes));
    return completion_request({*model, prompt->size(), *max_tokens, *stream, prefix_hash}, std::move(body));
}

const completion_parameters& completion_request::parameters() const
{
    return this->parsed_parameters;
}

std::string completion_request::render_backend_body(const std::string& model, std::uint32_t max_tokens) const
{
    auto rendered = this->body;
    rendered["model"] = model;
    rendered["max_tokens"] = max_tokens;
    return rendered.dump();
}

} // namespace tanager
