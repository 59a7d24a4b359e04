#include "claims/claim_table.h"

#include <nlohmann/json.hpp>

namespace tanager {

namespace {

// Well below the limit of one megabyte per object.
constexpr std::size_t max_table_bytes = std::size_t{600} * 1024;
constexpr std::size_t record_overhead_bytes = 250;
constexpr std::size_t max_stored_answer_bytes = 2'048;

const char* to_word(claim_state state)
{
    switch (state) {
    case claim_state::running:
        return "running";
    case claim_state::complete:
        return "complete";
    case claim_state::unknown:
        return "unknown";
    }
    return "unknown";
}

claim_state to_state(const std::string& word)
{
    if (word == "running") {
        return claim_state::running;
    }
    return word == "complete" ? claim_state::complete : claim_state::unknown;
}

std::size_t size_of(const claim_record& record)
{
    const std::size_t answer =
        record.answer ? record.answer->body.size() + record.answer->content_type.size() : 0;
    return record_overhead_bytes + answer;
}

nlohmann::json to_json(const claim_record& record)
{
    nlohmann::json json{{"request", record.request_digest},
                        {"claimant", record.claimant},
                        {"window", record.window},
                        {"state", to_word(record.state)}};
    if (record.answer) {
        json["status"] = record.answer->status;
        json["type"] = record.answer->content_type;
        json["body"] = record.answer->body;
    }
    return json;
}

claim_record to_record(const nlohmann::json& json)
{
    claim_record record{json.at("request").get<std::string>(),
                        json.at("claimant").get<std::string>(),
                        json.at("window").get<std::uint64_t>(),
                        to_state(json.at("state").get<std::string>()),
                        std::nullopt};
    if (json.contains("body")) {
        record.answer = claim_answer{json.at("status").get<int>(),
                                     json.at("type").get<std::string>(),
                                     json.at("body").get<std::string>()};
    }
    return record;
}

// JSON cannot represent bytes that are not UTF-8.
bool is_storable(const claim_answer& answer)
{
    if (answer.body.size() > max_stored_answer_bytes) {
        return false;
    }
    try {
        return !nlohmann::json(answer.body).dump().empty();
    } catch (const nlohmann::json::type_error&) {
        return false;
    }
}

} // namespace

result<claim_table> claim_table::parse(const std::string& text)
{
    claim_table table;
    if (text.empty()) {
        return table;
    }
    try {
        const auto json = nlohmann::json::parse(text);
        table.current_window = json.at("window").get<std::uint64_t>();
        table.window_started_seconds = json.at("started").get<std::int64_t>();
        for (const auto& [key, row] : json.at("claims").items()) {
            const auto& record = table.records[key] = to_record(row);
            table.approximate_bytes += size_of(record);
        }
    } catch (const nlohmann::json::exception& failure) {
        return fail(result_code::store_unavailable, std::string{"damaged claim table: "} + failure.what());
    }
    return table;
}

std::string claim_table::to_text() const
{
    auto claims = nlohmann::json::object();
    for (const auto& [key, record] : this->records) {
        claims[key] = to_json(record);
    }
    return nlohmann::json{{"window", this->current_window},
                          {"started", this->window_started_seconds},
                          {"claims", std::move(claims)}}
        .dump();
}

claim_result claim_table::claim(const claim_request& request)
{
    const auto found = this->records.find(request.key_digest);
    if (found == this->records.end()) {
        if (this->approximate_bytes + record_overhead_bytes + max_stored_answer_bytes > max_table_bytes) {
            return {claim_outcome::table_full, {}, this->current_window, std::nullopt};
        }
        const claim_record record{request.request_digest,
                                  request.claimant,
                                  this->current_window,
                                  claim_state::running,
                                  std::nullopt};
        this->records.emplace(request.key_digest, record);
        this->approximate_bytes += size_of(record);
        return {claim_outcome::granted, {}, this->current_window, std::nullopt};
    }
    const auto& existing = found->second;
    if (existing.claimant == request.claimant) {
        return {claim_outcome::granted, {}, existing.window, std::nullopt};
    }
    const bool is_same = existing.request_digest == request.request_digest;
    return {
        is_same ? claim_outcome::already_claimed : claim_outcome::key_reused, {}, existing.window, existing};
}

void claim_table::record(const claim_request& request,
                         claim_state state,
                         const std::optional<claim_answer>& answer)
{
    const auto found = this->records.find(request.key_digest);
    const bool is_claimant = found != this->records.end() && found->second.claimant == request.claimant;
    if (!is_claimant || found->second.state != claim_state::running) {
        return;
    }
    this->approximate_bytes -= size_of(found->second);
    found->second.state = state;
    if (answer && is_storable(*answer)) {
        found->second.answer = answer;
    }
    this->approximate_bytes += size_of(found->second);
}

void claim_table::release(const claim_request& request)
{
    const auto found = this->records.find(request.key_digest);
    const bool is_claimant = found != this->records.end() && found->second.claimant == request.claimant;
    if (is_claimant && found->second.state == claim_state::running) {
        this->approximate_bytes -= size_of(found->second);
        this->records.erase(found);
    }
}

void claim_table::rotate_if_due(wall_time_point now, std::chrono::hours window_length)
{
    const std::int64_t seconds =
        std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    if (this->window_started_seconds == 0) {
        this->window_started_seconds = seconds;
        return;
    }
    const std::int64_t length = std::chrono::seconds{window_length}.count();
    if (seconds - this->window_started_seconds < length) {
        return;
    }
    ++this->current_window;
    this->window_started_seconds = seconds;
    for (auto row = this->records.begin(); row != this->records.end();) {
        if (row->second.window + 1 < this->current_window) {
            this->approximate_bytes -= size_of(row->second);
            row = this->records.erase(row);
        } else {
            ++row;
        }
    }
}

std::uint64_t claim_table::window() const
{
    return this->current_window;
}

std::size_t claim_table::size() const
{
    return this->records.size();
}

} // namespace tanager
