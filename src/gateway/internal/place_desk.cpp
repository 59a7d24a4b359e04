#include "gateway/place_desk.h"

#include <algorithm>
#include <limits>

namespace tanager {

namespace {

// The shortest and longest suggestions to a rejected caller; short enough to leave time for a second try
// within the shortest deadlines in use.
constexpr std::chrono::milliseconds soonest_return{50};
constexpr std::chrono::milliseconds latest_return{2'000};

} // namespace

place_desk::place_desk(const clock& time, random_source& random, server_pool& pool)
    : time(time), random(random), pool(pool)
{
}

waiting_line& place_desk::line_of(const std::string& service)
{
    return this->lines.try_emplace(service, this->time).first->second;
}

placement_result place_desk::choose(const place_request& wanted, std::vector<placement_candidate>& candidates)
{
    candidates = this->pool.candidates(wanted.service, wanted.tried);
    return wanted.is_model ? choose_engine(wanted.prompt, candidates, this->random)
                           : choose_plain_server(candidates, this->random);
}

void place_desk::grant(const std::shared_ptr<const backend_server>& server, place_listener& listener)
{
    this->pool.begin(server->id);
    listener.on_place(server);
}

std::uint64_t place_desk::ask(const place_request& wanted, const std::shared_ptr<place_listener>& listener)
{
    const std::uint64_t ticket = ++this->last_ticket;
    auto& line = this->line_of(wanted.service);
    const auto first = line.next();
    const bool goes_first = !first || first->priority > wanted.priority;
    std::vector<placement_candidate> candidates;
    const auto chosen = this->choose(wanted, candidates);
    if (!chosen && chosen.error() == placement_miss::no_server) {
        listener->on_no_place(placement_miss::no_server);
        return ticket;
    }
    if (chosen && goes_first) {
        this->grant(candidates[*chosen].server, *listener);
        return ticket;
    }
    if (!line.join({ticket, wanted.priority, wanted.latest_start})) {
        listener->on_no_place(placement_miss::no_place);
        return ticket;
    }
    this->kept.emplace(ticket, kept_request{wanted, listener});
    return ticket;
}

void place_desk::withdraw(std::uint64_t ticket)
{
    const auto found = this->kept.find(ticket);
    if (found == this->kept.end()) {
        return;
    }
    this->line_of(found->second.wanted.service).leave(ticket);
    this->kept.erase(found);
}

void place_desk::release(const std::string& service, const std::string& server_id)
{
    this->pool.end(server_id);
    auto& line = this->line_of(service);
    line.record_release();
    this->serve_line(line);
}

void place_desk::serve_line(waiting_line& line)
{
    for (const auto& late : line.expire()) {
        const auto row = this->kept.extract(late.ticket);
        if (!row.empty()) {
            row.mapped().listener->on_no_place(placement_miss::no_place);
        }
    }
    for (auto next = line.next(); next; next = line.next()) {
        const auto found = this->kept.find(next->ticket);
        if (found == this->kept.end()) {
            line.leave(next->ticket);
            continue;
        }
        std::vector<placement_candidate> candidates;
        const auto chosen = this->choose(found->second.wanted, candidates);
        if (!chosen && chosen.error() == placement_miss::no_place) {
            return;
        }
        line.leave(next->ticket);
        const auto row = this->kept.extract(found);
        if (!chosen) {
            row.mapped().listener->on_no_place(chosen.error());
            continue;
        }
        this->grant(candidates[*chosen].server, *row.mapped().listener);
    }
}

void place_desk::review()
{
    for (auto& [service, line] : this->lines) {
        if (line.size() > 0) {
            this->serve_line(line);
        }
    }
}

std::size_t place_desk::waiting() const
{
    return this->kept.size();
}

std::chrono::milliseconds place_desk::suggest_return(const std::string& service) const
{
    const auto found = this->lines.find(service);
    if (found == this->lines.end()) {
        return soonest_return;
    }
    const auto start = found->second.expected_start(std::numeric_limits<std::uint32_t>::max());
    if (start == time_point::max()) {
        return latest_return;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(start - this->time.now());
    // Spread over twice the expected wait, so that those rejected together do not return together.
    const auto spread = static_cast<std::uint64_t>(std::max(wait, soonest_return).count());
    const std::chrono::milliseconds drawn{static_cast<std::int64_t>(this->random.next() % spread)};
    return std::clamp(wait + drawn, soonest_return, latest_return);
}

} // namespace tanager
