#include "entry/internal/identify_filter.h"

#include "entry/internal/completion_request.h"
#include "entry/internal/error_response.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace tanager {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view service_prefix = "/services/";
constexpr std::size_t max_authorization_header_bytes = 512;
constexpr std::size_t max_idempotency_key_bytes = 128;
constexpr std::uint64_t bytes_per_token = 4;
constexpr std::uint64_t tokens_per_piece = 2'000;

std::uint32_t count_pieces(std::uint64_t prompt_bytes, std::uint32_t output_tokens)
{
    const std::uint64_t tokens = prompt_bytes / bytes_per_token + output_tokens;
    return static_cast<std::uint32_t>(
        std::max<std::uint64_t>(1, (tokens + tokens_per_piece - 1) / tokens_per_piece));
}

std::string path_without_query(const std::string& path)
{
    return path.substr(0, path.find('?'));
}

bool is_visible_text(const std::string& text)
{
    return std::ranges::all_of(
        text, [](unsigned char character) { return character > ' ' && character < 127; }); // NOLINT
}

result<std::string> read_idempotency_key(const http_request& request)
{
    std::string key = find_header(request.headers, "Idempotency-Key");
    if (key.size() > max_idempotency_key_bytes || !is_visible_text(key)) {
        return fail(result_code::field_invalid,
                    "Idempotency-Key: is not a visible text of at most 128 characters");
    }
    return key;
}

result<std::chrono::milliseconds> read_deadline(const http_request& request,
                                                std::chrono::milliseconds max_deadline)
{
    const std::string text = find_header(request.headers, "Tanager-Deadline-Ms");
    if (text.empty()) {
        return max_deadline;
    }
    std::int64_t count = 0;
    const char* const end = text.data() + text.size(); // NOLINT(*-pointer-arithmetic)
    const auto parsed = std::from_chars(text.data(), end, count);
    if (parsed.ec != std::errc{} || parsed.ptr != end || count < 1) {
        return fail(result_code::field_invalid, "Tanager-Deadline-Ms: is not a positive whole number");
    }
    return std::min(std::chrono::milliseconds{count}, max_deadline);
}

} // namespace

identify_filter::identify_filter(const catalogue& local_catalogue,
                                 const clock& time,
                                 metrics_registry& metrics,
                                 sink<identified_request>& next)
    : local_catalogue(local_catalogue), time(time), metrics(metrics), next(next)
{
}

void identify_filter::accept(received_request request)
{
    auto identified = this->identify(request);
    if (!identified) {
        send_error_response(request, identified.error(), request_outcome::not_run, this->metrics);
        return;
    }
    this->next.accept(std::move(*identified));
}

result<identified_request> identify_filter::identify(const received_request& request) const
{
    identified_request draft;
    draft.received = request;
    const auto& http = request.exchange->request();
    if (!is_sendable(http)) {
        return fail(result_code::request_malformed, "control characters in the target or a header");
    }
    const std::string path = path_without_query(http.path);
    const bool is_chat = path == "/v1/chat/completions";
    const bool is_completion = is_chat || path == "/v1/completions";
    const bool is_service = path.starts_with(service_prefix);
    if (!is_completion && !is_service) {
        return fail(result_code::path_unknown, path);
    }
    if (is_completion && http.method != "POST") {
        return fail(result_code::method_not_allowed, http.method);
    }
    const auto caller = this->authenticate_caller(draft);
    if (!caller) {
        return tl::make_unexpected(caller.error());
    }
    auto key = read_idempotency_key(http);
    if (!key) {
        return tl::make_unexpected(key.error());
    }
    draft.idempotency_key = std::move(*key);
    return is_completion ? this->identify_completion(std::move(draft), is_chat)
                         : this->identify_service(std::move(draft));
}

result<void> identify_filter::authenticate_caller(identified_request& draft) const
{
    const std::string header = find_header(draft.received.exchange->request().headers, "Authorization");
    const bool is_bearer =
        header.starts_with(bearer_prefix) && header.size() <= max_authorization_header_bytes;
    draft.member =
        is_bearer ? this->local_catalogue.find_member_by_key(header.substr(bearer_prefix.size())) : nullptr;
    if (draft.member == nullptr) {
        return fail(result_code::caller_unknown, "no member has this key");
    }
    return {};
}

result<void> identify_filter::resolve_work(identified_request& draft,
                                           const std::string& work_name,
                                           pool_kind required_kind) const
{
    draft.work = this->local_catalogue.find_work(work_name);
    if (draft.work == nullptr) {
        return fail(result_code::entry_unknown, work_name);
    }
    if (draft.work->owner != draft.member->name) {
        return fail(result_code::entry_not_owned, work_name);
    }
    draft.pool = this->local_catalogue.find_pool(draft.work->pool);
    if (draft.pool == nullptr || draft.pool->kind != required_kind) {
        return fail(result_code::entry_unknown, work_name + " has no pool for this path");
    }
    const auto remaining = read_deadline(draft.received.exchange->request(), draft.work->deadline);
    if (!remaining) {
        return tl::make_unexpected(remaining.error());
    }
    draft.deadline = draft.received.received_at + *remaining;
    return {};
}

result<identified_request> identify_filter::identify_completion(identified_request draft, bool is_chat) const
{
    const auto& http = draft.received.exchange->request();
    const auto kind = is_chat ? completion_kind::chat : completion_kind::text;
    const auto body = completion_request::parse(http.body, kind);
    if (!body) {
        return tl::make_unexpected(body.error());
    }
    const auto& parameters = body->parameters();
    const auto work = this->resolve_work(draft, parameters.work_name, pool_kind::model);
    if (!work) {
        return tl::make_unexpected(work.error());
    }
    const std::uint32_t max_output_tokens = draft.work->max_output_tokens;
    if (parameters.max_tokens > max_output_tokens) {
        return fail(result_code::field_invalid, "max_tokens: is above " + std::to_string(max_output_tokens));
    }
    const std::uint32_t output_tokens =
        parameters.max_tokens == 0 ? max_output_tokens : parameters.max_tokens;
    draft.pieces = count_pieces(parameters.prompt_bytes, output_tokens);
    draft.prefix_hash = parameters.prefix_hash;
    draft.is_streaming = parameters.is_streaming;
    draft.backend_message = std::make_shared<const backend_request>(
        backend_request{"POST",
                        path_without_query(http.path),
                        {{"Content-Type", "application/json"}},
                        body->render_backend_body(draft.pool->model, output_tokens)});
    return draft;
}

result<identified_request> identify_filter::identify_service(identified_request draft) const
{
    const auto& http = draft.received.exchange->request();
    const std::string path_after_prefix = http.path.substr(service_prefix.size());
    const auto name_end = path_after_prefix.find_first_of("/?");
    const auto work =
        this->resolve_work(draft, path_after_prefix.substr(0, name_end), pool_kind::plain_service);
    if (!work) {
        return tl::make_unexpected(work.error());
    }
    const std::string path_after_name =
        name_end == std::string::npos ? std::string{} : path_after_prefix.substr(name_end);
    const std::string content_type = find_header(http.headers, "Content-Type");
    http_headers headers;
    if (!content_type.empty()) {
        headers.push_back({"Content-Type", content_type});
    }
    draft.backend_message = std::make_shared<const backend_request>(
        backend_request{http.method,
                        path_after_name.starts_with("/") ? path_after_name : "/" + path_after_name,
                        headers,
                        http.body});
    return draft;
}

} // namespace tanager
