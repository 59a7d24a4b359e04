#include "quarantine/server_end_detector.h"

#include <algorithm>

namespace tanager {

namespace {

// Servers that respond at all send something to one of their requests within this time.
constexpr std::chrono::milliseconds max_silence{500};
// Requests of one gateway that run on one server.
constexpr std::size_t max_requests = 256;

} // namespace

server_end_detector::server_end_detector(const clock& time) : time(time) {}

server_end_detector::suspected_server&
server_end_detector::suspect(std::uint64_t server, end_sign sign, const running_request& request)
{
    const auto [entry, is_new] = this->suspected.try_emplace(server);
    auto& state = entry->second;
    if (is_new) {
        state.sign = sign;
        state.since = this->time.now();
    }
    const auto known = std::ranges::find(state.requests, request.traits, &running_request::traits);
    if (known == state.requests.end() && state.requests.size() < max_requests) {
        state.requests.push_back(request);
    }
    return state;
}

bool server_end_detector::record_lost_connection(std::uint64_t server, const running_request& request)
{
    const auto known = this->suspected.find(server);
    const bool is_being_tried =
        known != this->suspected.end() && known->second.sign == end_sign::connection_lost;
    this->suspect(server, end_sign::connection_lost, request).sign = end_sign::connection_lost;
    return !is_being_tried;
}

void server_end_detector::record_silence(std::uint64_t server, const running_request& request)
{
    this->suspect(server, end_sign::silence, request);
}

void server_end_detector::record_unframed_response(std::uint64_t server, const running_request& request)
{
    this->suspect(server, end_sign::unframed_response, request);
}

std::vector<std::uint64_t> server_end_detector::take_unframed()
{
    std::vector<std::uint64_t> servers;
    for (auto& [server, state] : this->suspected) {
        if (state.sign == end_sign::unframed_response) {
            state.sign = end_sign::connection_lost;
            servers.push_back(server);
        }
    }
    return servers;
}

std::vector<decided_end> server_end_detector::record_response(std::uint64_t server)
{
    const auto found = this->suspected.find(server);
    // What a process has sent before its end can arrive on other connections after the first one broke.
    if (found == this->suspected.end() || found->second.sign != end_sign::silence) {
        return {};
    }
    return this->decide(server, false);
}

std::vector<decided_end> server_end_detector::record_connect(std::uint64_t server, bool is_accepted)
{
    return this->decide(server, !is_accepted);
}

std::vector<decided_end> server_end_detector::decide(std::uint64_t server, bool has_ended)
{
    auto found = this->suspected.extract(server);
    if (found.empty()) {
        return {};
    }
    auto& state = found.mapped();
    return {{server, state.sign, has_ended, this->time.now() - state.since, std::move(state.requests)}};
}

std::vector<decided_end> server_end_detector::take_silent()
{
    std::vector<std::uint64_t> silent;
    for (const auto& [server, state] : this->suspected) {
        if (state.sign == end_sign::silence && this->time.now() - state.since >= max_silence) {
            silent.push_back(server);
        }
    }
    std::vector<decided_end> ended;
    for (const auto server : silent) {
        std::ranges::move(this->decide(server, true), std::back_inserter(ended));
    }
    return ended;
}

std::vector<server_end> server_end_detector::pending_ends(std::uint64_t content) const
{
    std::vector<server_end> ends;
    for (const auto& [server, state] : this->suspected) {
        const bool has_run = std::ranges::any_of(state.requests, [content](const running_request& request) {
            const bool has_content =
                request.traits.content == content || request.traits.caller_content == content;
            return has_content && !request.has_unframed_response;
        });
        if (has_run) {
            ends.push_back({server, false});
        }
    }
    return ends;
}

bool server_end_detector::is_idle() const
{
    return this->suspected.empty();
}

} // namespace tanager
