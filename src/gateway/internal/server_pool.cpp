#include "gateway/server_pool.h"

#include "logging/event_log.h"

#include <algorithm>

namespace tanager {

namespace {

std::string_view name_of_sign(server_sign sign)
{
    switch (sign) {
    case server_sign::answered:
        return "answered";
    case server_sign::failed:
        return "failed";
    case server_sign::silent:
        return "silent";
    case server_sign::refused:
        return "refused";
    }
    return "unlisted";
}

} // namespace

server_pool::server_pool(const clock& time, duration return_grace, const elsewhere_view& elsewhere)
    : known(time, return_grace), trust(time), elsewhere(elsewhere)
{
}

server_list& server_pool::list()
{
    return this->known;
}

std::vector<placement_candidate> server_pool::candidates(const std::string& service,
                                                         const std::vector<std::string>& tried) const
{
    std::vector<placement_candidate> found;
    for (auto& server : this->known.serving(service)) {
        placement_candidate row;
        const auto here = this->running_here.find(server->id);
        row.running_here = here == this->running_here.end() ? 0 : here->second;
        row.running_elsewhere = this->elsewhere.running_elsewhere(server->id);
        row.is_aside = this->trust.is_aside(server->id);
        row.is_on_trial = this->trust.is_on_trial(server->id);
        row.was_tried = std::ranges::find(tried, server->id) != tried.end();
        row.server = std::move(server);
        found.push_back(std::move(row));
    }
    return found;
}

void server_pool::begin(const std::string& server_id)
{
    ++this->running_here[server_id];
    this->changed();
}

void server_pool::end(const std::string& server_id)
{
    const auto found = this->running_here.find(server_id);
    if (found != this->running_here.end() && --found->second == 0) {
        this->running_here.erase(found);
    }
    this->changed();
}

void server_pool::record(const std::string& server_id, server_sign sign)
{
    if (!this->trust.record(server_id, sign)) {
        return;
    }
    const auto event =
        sign == server_sign::answered ? log_event::server_trusted : log_event::server_suspected;
    write_event(event, {{"server", server_id}, {"sign", std::string{name_of_sign(sign)}}});
}

void server_pool::on_change(std::function<void()> callback)
{
    this->changed = std::move(callback);
}

const std::map<std::string, std::uint32_t>& server_pool::running() const
{
    return this->running_here;
}

} // namespace tanager
