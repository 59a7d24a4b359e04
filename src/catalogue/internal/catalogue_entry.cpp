#include "catalogue/types/catalogue_entry.h"

#include "catalogue/internal/json_fields.h"

#include <algorithm>
#include <cctype>

namespace tanager {

namespace {

constexpr std::size_t digest_digits = 64;
constexpr std::size_t max_name_length = 100;
constexpr number_bounds piece_bounds{0, 1'000'000};
constexpr number_bounds share_slot_count_bounds{1, 2'000};
constexpr number_bounds share_slot_bounds{0, 1'999};
constexpr number_bounds priority_bounds{0, 100};
constexpr number_bounds token_bounds{1, 1'000'000};

bool is_name(const std::string& text)
{
    const auto is_allowed = [](unsigned char character) {
        return std::islower(character) != 0 || std::isdigit(character) != 0 || character == '-' ||
               character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, is_allowed);
}

bool is_digest(const std::string& text)
{
    const auto is_hex_digit = [](unsigned char character) {
        return std::isdigit(character) != 0 || (character >= 'a' && character <= 'f');
    };
    return text.size() == digest_digits && std::ranges::all_of(text, is_hex_digit);
}

member_entry read_member(const std::string& name, json_fields& fields, std::vector<std::string>& problems)
{
    member_entry member;
    member.name = name;
    member.key_digests = fields.read_text_list("key_digests");
    for (const auto& digest : member.key_digests) {
        if (!is_digest(digest)) {
            fields.add_problem("key_digests",
                               "'" + digest + "' is not a SHA-256 digest in lower-case hexadecimal");
        }
    }
    for (const auto& object : fields.read_objects("caps")) {
        json_fields cap(object, name + ".caps", problems);
        const std::string pool = cap.read_text("pool", true);
        const auto pieces = static_cast<std::uint32_t>(cap.read_number("pieces", 0, piece_bounds));
        member.caps.push_back({pool, pieces});
        cap.report_unknown();
    }
    return member;
}

pool_agent
read_agent(const std::string& pool, const nlohmann::json& object, std::vector<std::string>& problems)
{
    json_fields fields(object, pool + ".agents", problems);
    pool_agent agent;
    agent.host = fields.read_text("host", true);
    agent.data_centre = fields.read_text("data_centre", true);
    agent.address = fields.read_text("address", true);
    agent.share_slot = static_cast<std::uint32_t>(fields.read_number("slot", 0, share_slot_bounds));
    agent.draining = fields.read_flag("draining", false);
    fields.report_unknown();
    return agent;
}

void check_share_slots(const pool_entry& pool, json_fields& fields)
{
    std::vector<std::uint32_t> used_slots;
    for (const auto& agent : pool.agents) {
        if (agent.share_slot >= pool.share_slot_count) {
            fields.add_problem("agents",
                               "slot " + std::to_string(agent.share_slot) + " of " + agent.host +
                                   " is not below slots");
        }
        if (std::ranges::find(used_slots, agent.share_slot) != used_slots.end()) {
            fields.add_problem("agents", "slot " + std::to_string(agent.share_slot) + " is taken twice");
        }
        used_slots.push_back(agent.share_slot);
    }
}

pool_entry read_pool(const std::string& name, json_fields& fields, std::vector<std::string>& problems)
{
    pool_entry pool;
    pool.name = name;
    const std::string kind = fields.read_text("kind", true);
    if (kind != "model" && kind != "service") {
        fields.add_problem("kind", "is neither 'model' nor 'service'");
    }
    pool.kind = kind == "service" ? pool_kind::plain_service : pool_kind::model;
    pool.model = fields.read_text("model", pool.kind == pool_kind::model);
    pool.region = fields.read_text("region", true);
    pool.share_slot_count =
        static_cast<std::uint32_t>(fields.read_number("slots", 1, share_slot_count_bounds));
    for (const auto& object : fields.read_objects("agents")) {
        pool.agents.push_back(read_agent(name, object, problems));
    }
    check_share_slots(pool, fields);
    return pool;
}

work_entry read_work(const std::string& name, json_fields& fields)
{
    const work_entry defaults;
    work_entry work;
    work.name = name;
    work.owner = fields.read_text("owner", true);
    work.work_class = fields.read_text("class", true);
    work.pool = fields.read_text("pool", true);
    work.idempotent = fields.read_flag("idempotent", false);
    work.priority =
        static_cast<std::uint32_t>(fields.read_number("priority", defaults.priority, priority_bounds));
    work.deadline = fields.read_milliseconds("deadline_ms", defaults.deadline);
    work.first_token_target = fields.read_milliseconds("first_token_ms", defaults.first_token_target);
    work.token_target = fields.read_milliseconds("between_tokens_ms", defaults.token_target);
    work.max_output_tokens = static_cast<std::uint32_t>(
        fields.read_number("max_output_tokens", defaults.max_output_tokens, token_bounds));
    return work;
}

std::string join_problems(const std::vector<std::string>& problems)
{
    std::string joined;
    for (const auto& problem : problems) {
        joined += (joined.empty() ? "" : "\n") + problem;
    }
    return joined;
}

catalogue_entry read_entry(const std::string& kind,
                           const std::string& name,
                           json_fields& fields,
                           std::vector<std::string>& problems)
{
    if (kind == "member") {
        return read_member(name, fields, problems);
    }
    if (kind == "pool") {
        return read_pool(name, fields, problems);
    }
    if (kind != "work") {
        problems.push_back("kind '" + kind + "' is none of: member, pool, work");
    }
    return read_work(name, fields);
}

} // namespace

std::uint32_t member_entry::cap_in(const std::string& pool) const
{
    const auto cap = std::ranges::find(this->caps, pool, &pool_cap::pool);
    return cap == this->caps.end() ? 0 : cap->pieces;
}

result<catalogue_entry> parse_catalogue_entry(const std::string& object_name, const std::string& json)
{
    const auto slash = object_name.find('/');
    const std::string kind = object_name.substr(0, slash);
    const std::string name = slash == std::string::npos ? std::string{} : object_name.substr(slash + 1);
    const auto object = nlohmann::json::parse(json, nullptr, false);
    if (!object.is_object()) {
        return fail(result_code::catalogue_invalid, object_name + ": is not a JSON object");
    }
    std::vector<std::string> problems;
    if (!is_name(name)) {
        problems.push_back(object_name + ": the name may hold only a-z, 0-9, '-', '_' and '.'");
    }
    json_fields fields(object, object_name, problems);
    auto entry = read_entry(kind, name, fields, problems);
    fields.report_unknown();
    if (!problems.empty()) {
        return fail(result_code::catalogue_invalid, join_problems(problems));
    }
    return entry;
}

std::uint32_t cap_share_of_slot(std::uint32_t cap, std::uint32_t slot_count, std::uint32_t slot)
{
    if (slot >= slot_count) {
        return 0;
    }
    const std::uint64_t wide_cap = cap;
    const std::uint64_t upper = wide_cap * (slot + 1) / slot_count;
    const std::uint64_t lower = wide_cap * slot / slot_count;
    return static_cast<std::uint32_t>(upper - lower);
}

} // namespace tanager
