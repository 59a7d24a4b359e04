#include "tests/support/test_client.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace tanager::testing {

namespace {

constexpr std::chrono::seconds max_wait{60};
constexpr std::chrono::seconds call_timeout{60};

// Stores a response in an async_response as it arrives, so that a test can inspect it before it is complete.
class response_collector final : public http_response_handler {
public:
    explicit response_collector(std::shared_ptr<async_response> result) : result(std::move(result)) {}

    void on_head(int status, const http_headers& headers) override
    {
        this->head = {status, headers, {}};
    }

    void on_data(std::string_view data) override
    {
        this->result->body_so_far += data;
    }

    void on_end() override
    {
        this->head.body = this->result->body_so_far;
        this->result->finished_at = std::chrono::steady_clock::now();
        this->result->response = this->head;
    }

    void on_failure(const http_failure& failure) override
    {
        this->result->finished_at = std::chrono::steady_clock::now();
        this->result->failure = failure;
    }

private:
    std::shared_ptr<async_response> result;
    http_response head;
};

std::string text_of_choice(const nlohmann::json& choice)
{
    if (choice.contains("text")) {
        return choice["text"].get<std::string>();
    }
    const auto& message = choice.contains("delta") ? choice["delta"] : choice["message"];
    return message.value("content", std::string{});
}

std::string text_of_json(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() && json.contains("choices") ? text_of_choice(json["choices"][0]) : std::string{};
}

} // namespace

bool async_response::is_finished() const
{
    return this->response.has_value() || this->failure.has_value();
}

test_client::test_client()
    : own_loop(std::move(*event_loop::create())), client(http_client::create(*this->own_loop))
{
}

std::shared_ptr<async_response> test_client::start(const std::string& address, const http_request& request)
{
    auto result = std::make_shared<async_response>();
    this->start_with(result, address, request, {call_timeout, false});
    return result;
}

void test_client::start_with(const std::shared_ptr<async_response>& result,
                             const std::string& address,
                             const http_request& request,
                             const http_call_options& options)
{
    result->call = this->client->start(
        *parse_address(address), request, options, std::make_shared<response_collector>(result));
}

void test_client::run_until(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    const auto wakeup_timer =
        this->own_loop->run_every(std::chrono::milliseconds{5}, [] {}); // NOLINT(*-magic-numbers)
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw std::runtime_error("the condition did not hold within " + std::to_string(max_wait.count()) +
                                     " s");
        }
        this->own_loop->run_once();
    }
}

http_response test_client::fetch(const std::string& address, const http_request& request)
{
    const auto result = this->start(address, request);
    this->run_until([&] { return result->is_finished(); });
    if (!result->response) {
        throw std::runtime_error("no response from " + address + ": " + result->failure->cause.detail);
    }
    return *result->response;
}

http_response test_client::get(const std::string& address, const std::string& path)
{
    return this->fetch(address, {"GET", path, {}, {}});
}

http_response test_client::post(const std::string& address, const std::string& path, const std::string& body)
{
    return this->fetch(address, {"POST", path, {}, body});
}

void test_client::poll_until(const std::string& address,
                             const std::string& path,
                             const std::function<bool(const http_response&)>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + max_wait;
    while (!condition(this->get(address, path))) {
        if (std::chrono::steady_clock::now() > deadline) {
            std::string message =
                "the expected page did not appear within " + std::to_string(max_wait.count()) + " s at ";
            message.append(address).append(path);
            throw std::runtime_error(message);
        }
    }
}

event_loop& test_client::loop()
{
    return *this->own_loop;
}

http_request make_completion_request(const std::string& key,
                                     const std::string& work,
                                     const std::string& prompt,
                                     std::uint32_t tokens,
                                     bool stream)
{
    const nlohmann::json body{
        {"model", work}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
    return {"POST", "/v1/completions", {{"Authorization", "Bearer " + key}}, body.dump()};
}

http_request make_service_request(const std::string& key,
                                  const std::string& work,
                                  const std::string& body,
                                  const std::string& idempotency_key)
{
    http_request request{"POST", "/services/" + work + "/", {{"Authorization", "Bearer " + key}}, body};
    if (!idempotency_key.empty()) {
        request.headers.push_back({"Idempotency-Key", idempotency_key});
    }
    return request;
}

std::string completion_text(const http_response& response)
{
    if (!find_header(response.headers, "Content-Type").starts_with("text/event-stream")) {
        return text_of_json(response.body);
    }
    std::string text;
    constexpr std::string_view prefix = "data: ";
    std::size_t begin = 0;
    while (begin < response.body.size()) {
        const auto end = std::min(response.body.find('\n', begin), response.body.size());
        const std::string line = response.body.substr(begin, end - begin);
        if (line.starts_with(prefix)) {
            text += text_of_json(line.substr(prefix.size()));
        }
        begin = end + 1;
    }
    return text;
}

double metric_value(const http_response& page, const std::string& series)
{
    const auto begin = page.body.find("\n" + series + " ");
    if (begin == std::string::npos) {
        return 0;
    }
    return std::stod(page.body.substr(begin + series.size() + 2));
}

} // namespace tanager::testing
