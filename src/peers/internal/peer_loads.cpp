#include "peers/peer_loads.h"

#include "base/digest.h"

#include <utility>

namespace tanager {

std::uint32_t server_key(const std::string& server_id)
{
    return static_cast<std::uint32_t>(hash64(server_id));
}

peer_loads::peer_loads(const clock& time, duration silence_allowed)
    : time(time), silence_allowed(silence_allowed)
{
}

bool peer_loads::apply(const std::string& peer, const load_report& report)
{
    const auto [found, is_new] = this->peers.try_emplace(peer);
    auto& row = found->second;
    // A process that was started later has the higher incarnation.
    const bool is_newer = is_new || report.incarnation > row.incarnation ||
                          (report.incarnation == row.incarnation && report.sequence > row.sequence);
    if (!is_newer) {
        return false;
    }
    if (is_new) {
        this->notices.push_back({peer, true});
    }
    this->subtract(row);
    row.incarnation = report.incarnation;
    row.sequence = report.sequence;
    row.heard_at = this->time.now();
    row.running.clear();
    for (const auto& load : report.loads) {
        row.running[load.server] += load.running;
    }
    this->add(row);
    return true;
}

void peer_loads::add(const peer_row& row)
{
    for (const auto& [server, running] : row.running) {
        this->totals[server] += running;
    }
}

void peer_loads::subtract(const peer_row& row)
{
    for (const auto& [server, running] : row.running) {
        const auto found = this->totals.find(server);
        found->second -= running;
        if (found->second == 0) {
            this->totals.erase(found);
        }
    }
}

std::uint32_t peer_loads::running_on(const std::string& server_id) const
{
    const auto found = this->totals.find(server_key(server_id));
    return found == this->totals.end() ? 0 : found->second;
}

std::size_t peer_loads::heard() const
{
    return this->peers.size();
}

std::vector<peer_notice> peer_loads::review()
{
    const auto oldest = this->time.now() - this->silence_allowed;
    for (auto row = this->peers.begin(); row != this->peers.end();) {
        if (row->second.heard_at >= oldest) {
            ++row;
            continue;
        }
        this->subtract(row->second);
        this->notices.push_back({row->first, false});
        row = this->peers.erase(row);
    }
    return std::exchange(this->notices, {});
}

} // namespace tanager
