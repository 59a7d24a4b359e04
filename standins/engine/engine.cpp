#include "standins/engine/engine.h"

#include "standins/support/expected_completion.h"
#include "standins/support/request_target.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace tanager::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_failed = 500;
constexpr std::uint32_t default_tokens = 16;
constexpr std::uint64_t bytes_per_token = 4;
constexpr std::uint64_t microseconds_per_second = 1'000'000;

std::string read_prompt(const nlohmann::json& body)
{
    if (body.contains("prompt") && body["prompt"].is_string()) {
        return body["prompt"].get<std::string>();
    }
    std::string joined;
    for (const auto& message : body.value("messages", nlohmann::json::array())) {
        joined += message.value("content", std::string{});
    }
    return joined;
}

} // namespace

// One completion request, queued or running.
class engine_request : public std::enable_shared_from_this<engine_request> {
public:
    engine_request(engine& owner, std::shared_ptr<http_exchange> exchange, const nlohmann::json& body)
        : owner(owner),
          exchange(std::move(exchange)),
          prompt(read_prompt(body)),
          tokens(body.value("max_tokens", default_tokens)),
          wants_stream(body.value("stream", false)),
          is_chat(body.contains("messages"))
    {
    }

    void start_prefill()
    {
        this->owner.executions.count_started(this->prompt);
        if (this->owner.options.crash_on_marker && this->prompt.find("CRASH-ENGINE") != std::string::npos) {
            std::_Exit(EXIT_FAILURE);
        }
        const std::uint64_t prompt_tokens = this->prompt.size() / bytes_per_token;
        const std::chrono::microseconds prefill{prompt_tokens * microseconds_per_second /
                                                this->owner.options.prefill_tokens_per_second};
        this->next_token_at = std::chrono::steady_clock::now() + prefill;
        this->schedule();
    }

    void on_caller_left()
    {
        if (!this->has_ended) {
            this->owner.executions.count_cancelled();
            this->end(false);
        }
    }

    void fail(int status)
    {
        this->exchange->send_response({status, {}, "failed\n"});
        this->end(false);
    }

private:
    void schedule()
    {
        const auto delay = std::max(this->next_token_at - std::chrono::steady_clock::now(), duration{});
        this->timer = this->owner.loop.run_after(delay, [weak = this->weak_from_this()] {
            if (const auto alive = weak.lock()) {
                alive->generate_token();
            }
        });
    }

    void generate_token()
    {
        if (this->owner.faults.value("stall") > 0) {
            this->next_token_at = std::chrono::steady_clock::now() + this->owner.options.token_interval;
            this->schedule();
            return;
        }
        if (this->generated_tokens == 0 && this->inject_first_token_fault()) {
            return;
        }
        if (this->generated_tokens == 1 && this->owner.faults.consume("crash")) {
            std::_Exit(EXIT_FAILURE);
        }
        if (this->generated_tokens >= this->tokens) {
            this->finish();
            return;
        }
        const std::string token = expected_token(this->prompt, this->generated_tokens);
        ++this->generated_tokens;
        this->completion += token;
        if (this->wants_stream) {
            this->stream(token);
        }
        if (this->has_ended) {
            return;
        }
        this->next_token_at += this->owner.options.token_interval;
        this->schedule();
    }

    // Returns whether a fault replaced the response.
    bool inject_first_token_fault()
    {
        if (this->owner.faults.consume("error")) {
            this->fail(status_failed);
            return true;
        }
        if (this->owner.faults.consume("garbage")) {
            const std::string type = this->wants_stream ? "text/event-stream" : "application/json";
            this->exchange->send_response(
                {status_ok, {{"Content-Type", type}}, "\x01\x02 {{{ no answer\n\n"});
            this->end(false);
            return true;
        }
        return false;
    }

    void stream(const std::string& token)
    {
        if (this->generated_tokens == 1) {
            this->exchange->start(status_ok, {{"Content-Type", "text/event-stream"}});
        }
        const nlohmann::json choice = this->is_chat
                                          ? nlohmann::json{{"index", 0}, {"delta", {{"content", token}}}}
                                          : nlohmann::json{{"index", 0}, {"text", token}};
        this->exchange->write("data: " + nlohmann::json{{"choices", {choice}}}.dump() + "\n\n");
        if (this->generated_tokens > 1 && this->owner.faults.consume("truncate")) {
            this->exchange->abort();
            this->end(false);
        }
    }

    void finish()
    {
        this->owner.executions.count_finished();
        if (this->wants_stream) {
            this->exchange->write("data: [DONE]\n\n");
            this->exchange->finish();
        } else {
            const nlohmann::json choice =
                this->is_chat
                    ? nlohmann::json{{"index", 0},
                                     {"message", {{"role", "assistant"}, {"content", this->completion}}}}
                    : nlohmann::json{{"index", 0}, {"text", this->completion}};
            const nlohmann::json body{{"choices", {choice}},
                                      {"usage",
                                       {{"prompt_tokens", this->prompt.size() / bytes_per_token},
                                        {"completion_tokens", this->generated_tokens}}}};
            this->exchange->send_response({status_ok, {{"Content-Type", "application/json"}}, body.dump()});
        }
        this->end(true);
    }

    void end(bool is_complete)
    {
        this->has_ended = true;
        const auto self = this->shared_from_this();
        this->owner.loop.post([self, is_complete] {
            self->timer.reset();
            if (!is_complete) {
                self->exchange->finish();
            }
            self->owner.on_request_ended(self);
        });
    }

    engine& owner;
    std::shared_ptr<http_exchange> exchange;
    std::string prompt;
    std::uint32_t tokens;
    bool wants_stream;
    bool is_chat;
    bool has_ended = false;
    std::uint32_t generated_tokens = 0;
    std::string completion;
    std::chrono::steady_clock::time_point next_token_at;
    std::unique_ptr<loop_timer> timer;
};

engine::engine(event_loop& loop, const engine_options& options) : loop(loop), options(options) {}

void engine::serve(const std::shared_ptr<http_exchange>& exchange)
{
    if (this->faults.serve(*exchange) || this->executions.serve(*exchange)) {
        return;
    }
    const auto path = parse_request_target(exchange->request().path).path;
    if (path == "/load") {
        const nlohmann::json load{{"running", this->running.size()}, {"waiting", this->waiting.size()}};
        exchange->send_response({status_ok, {{"Content-Type", "application/json"}}, load.dump()});
        return;
    }
    if (path != "/v1/completions" && path != "/v1/chat/completions") {
        exchange->send_response({status_not_found, {}, "no such path\n"});
        return;
    }
    const auto body = nlohmann::json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object()) {
        exchange->send_response({status_bad_request, {}, "no JSON object\n"});
        return;
    }
    const auto request = std::make_shared<engine_request>(*this, exchange, body);
    exchange->on_caller_left([weak = std::weak_ptr(request)] {
        if (const auto alive = weak.lock()) {
            alive->on_caller_left();
        }
    });
    this->waiting.push_back(request);
    this->start_queued_requests();
}

void engine::start_queued_requests()
{
    while (!this->waiting.empty() && this->running.size() < this->options.max_batch_size) {
        const auto next = this->waiting.front();
        this->waiting.pop_front();
        this->running.insert(next);
        next->start_prefill();
    }
}

void engine::on_request_ended(const std::shared_ptr<engine_request>& ended)
{
    this->running.erase(ended);
    std::erase(this->waiting, ended);
    this->start_queued_requests();
}

} // namespace tanager::standin
