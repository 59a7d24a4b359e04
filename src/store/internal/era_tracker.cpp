#include "store/era_tracker.h"

#include "logging/event_log.h"
#include "store/types/fencing_token.h"

#include <charconv>

namespace tanager {

namespace {

std::optional<std::uint64_t> parse_era(std::string_view text)
{
    std::uint64_t era = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, era);
    const bool is_number = parsed.ec == std::errc{} && parsed.ptr == end;
    return is_number && era <= max_era ? std::optional{era} : std::nullopt;
}

tl::unexpected<error> reject(std::string_view text, std::uint64_t known)
{
    // The text comes from outside and may have any length.
    constexpr std::size_t max_text = 24;
    write_event(log_event::store_era_rejected,
                {{"era", std::string{text.substr(0, max_text)}}, {"known_era", std::to_string(known)}});
    return fail(result_code::store_unavailable,
                text.empty() ? "an answer without an era" : "an answer of an earlier or unreadable era");
}

} // namespace

result<std::uint64_t> era_tracker::judge(std::string_view text)
{
    if (text.empty()) {
        return this->highest ? result<std::uint64_t>{reject(text, *this->highest)}
                             : result<std::uint64_t>{std::uint64_t{0}};
    }
    const auto era = parse_era(text);
    if (!era || (this->highest && *era < *this->highest)) {
        return reject(text, this->known_era());
    }
    if (this->highest != *era) {
        write_event(log_event::store_era_changed,
                    {{"era", std::to_string(*era)},
                     {"before", this->highest ? std::to_string(*this->highest) : "none"}});
        this->highest = *era;
    }
    return *era;
}

std::uint64_t era_tracker::known_era() const
{
    return this->highest.value_or(0);
}

} // namespace tanager
