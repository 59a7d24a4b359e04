#include "gateway/crash_quarantine.h"

#include "base/digest.h"
#include "base/text.h"
#include "logging/event_log.h"
#include "quarantine/crash_suspicion_codec.h"

#include <algorithm>

namespace tanager {

namespace {

// As long as operators need to find the request in the logs.
constexpr std::chrono::minutes retention{10};
// A gateway that has missed a message, or has just started, learns of it within a few of these.
constexpr std::chrono::milliseconds repeat_interval{500};
constexpr std::size_t max_message_bytes = 3'000;
// As many as one message usually holds.
constexpr std::size_t max_repeated_suspicions = 60;

std::uint64_t key_of(const backend_server& server)
{
    return hash64(server.id, static_cast<std::uint64_t>(server.incarnation));
}

std::string to_milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::string name_of(const request_trait& trait)
{
    return trait.is_content() ? "content" : "prompt_part";
}

std::string name_of(quarantine_source source)
{
    switch (source) {
    case quarantine_source::server_end:
        return "server_end";
    case quarantine_source::completion:
        return "completion";
    case quarantine_source::peer:
        return "peer";
    case quarantine_source::store:
        return "store";
    case quarantine_source::expiry:
        return "expiry";
    }
    return "unknown";
}

} // namespace

error quarantine_verdict::cause() const
{
    return {result_code::servers_ended_under_request,
            "servers ended under requests with the " + name_of(this->trait) + " " +
                to_hex(this->trait.fingerprint)};
}

crash_quarantine::crash_quarantine(const clock& time, metrics_registry& metrics, server_connector& connector)
    : time(time), metrics(metrics), connector(connector), detector(time), suspicions(time, retention)
{
}

void crash_quarantine::set_channel(suspicion_channel* new_channel)
{
    this->channel = new_channel;
}

void crash_quarantine::set_recorder(quarantine_recorder* new_recorder)
{
    this->recorder = new_recorder;
}

std::optional<quarantine_verdict> crash_quarantine::find_quarantine(const request_traits& request) const
{
    if (this->suspicions.is_empty() && this->detector.is_idle()) {
        return std::nullopt;
    }
    for (const auto& trait : request.all()) {
        // Too many requests have a part in common for servers that may still live to count against it.
        const auto pending =
            trait.is_content() ? this->detector.pending_ends(trait.fingerprint) : std::vector<server_end>{};
        const auto left = this->suspicions.quarantine_left(trait, pending);
        if (left > duration{0}) {
            return quarantine_verdict{trait, left};
        }
    }
    return std::nullopt;
}

void crash_quarantine::add_listener(quarantine_listener& listener)
{
    this->listeners.insert(&listener);
}

void crash_quarantine::remove_listener(quarantine_listener& listener)
{
    this->listeners.erase(&listener);
}

void crash_quarantine::try_connect(std::uint64_t key, const socket_address& address)
{
    this->metrics.increment_counter("tanager_server_end_checks_total");
    this->connector.try_connect(address, [this, key](bool is_accepted) {
        this->apply(this->detector.record_connect(key, is_accepted));
    });
}

void crash_quarantine::record_lost_connection(const backend_server& server, const running_request& request)
{
    const auto key = key_of(server);
    this->suspected_servers.insert_or_assign(key, server);
    if (this->detector.record_lost_connection(key, request)) {
        this->try_connect(key, server.address);
    }
}

void crash_quarantine::record_silence(const backend_server& server, const running_request& request)
{
    const auto key = key_of(server);
    this->suspected_servers.insert_or_assign(key, server);
    this->detector.record_silence(key, request);
}

void crash_quarantine::record_response(const backend_server& server)
{
    if (!this->detector.is_idle()) {
        this->apply(this->detector.record_response(key_of(server)));
    }
}

void crash_quarantine::record_completion(const running_request& request, bool is_success)
{
    const auto quarantined_before = this->suspicions.quarantined();
    std::set<request_trait> news;
    for (const auto& trait : request.traits.all()) {
        if ((is_success || trait.is_content()) && this->suspicions.excuse(trait)) {
            write_event(log_event::request_cleared,
                        {{"request", request.id},
                         {"trait", name_of(trait)},
                         {"fingerprint", to_hex(trait.fingerprint)},
                         {"response", is_success ? "success" : "failure"}});
            this->metrics.increment_counter("tanager_suspicions_cleared_total");
            news.insert(trait);
        }
    }
    if (!news.empty()) {
        this->note_changes(quarantined_before, quarantine_source::completion);
        this->send_news(news);
    }
}

void crash_quarantine::record_unframed_completion(const backend_server& server, running_request request)
{
    const auto key = key_of(server);
    this->suspected_servers.insert_or_assign(key, server);
    request.has_unframed_response = true;
    this->detector.record_unframed_response(key, request);
}

void crash_quarantine::apply(const std::vector<decided_end>& decisions)
{
    for (const auto& decision : decisions) {
        const auto named = this->suspected_servers.extract(decision.server);
        const auto server_id = named.empty() ? std::string{"-"} : named.mapped().id;
        write_event(log_event::server_end_checked,
                    {{"server", server_id},
                     {"sign", decision.sign == end_sign::silence ? "silent" : "connection_lost"},
                     {"ended", decision.has_ended ? "yes" : "no"},
                     {"after_ms", to_milliseconds(decision.time_suspected)},
                     {"requests", std::to_string(decision.requests.size())}});
        if (!decision.has_ended) {
            for (const auto& request : decision.requests) {
                if (request.has_unframed_response) {
                    this->record_completion(request, true);
                }
            }
            continue;
        }
        this->metrics.increment_counter("tanager_server_ends_total");
        const auto quarantined_before = this->suspicions.quarantined();
        std::set<request_trait> news;
        const bool is_confirmed = decision.sign == end_sign::connection_lost;
        const auto ended_at = this->time.now() - decision.time_suspected;
        for (const auto& request : decision.requests) {
            this->record_end(
                request, {decision.server, is_confirmed, ended_at, request.sent_at}, server_id, news);
        }
        this->note_changes(quarantined_before, quarantine_source::server_end);
        this->record_news(quarantined_before, news);
        this->send_news(news);
    }
}

void crash_quarantine::record_end(const running_request& request,
                                  const server_end& end,
                                  const std::string& server_id,
                                  std::set<request_trait>& news)
{
    for (const auto& trait : request.traits.all()) {
        if (this->suspicions.record_end(trait, end)) {
            news.insert(trait);
        }
    }
    const request_trait content{request.traits.content, request_trait::content_specificity};
    if (!news.contains(content)) {
        return;
    }
    const auto known = this->suspicions.find(content);
    write_event(log_event::request_suspected,
                {{"request", request.id},
                 {"content", to_hex(request.traits.content)},
                 {"prompt_parts", to_hex_list(request.traits.prompt_parts)},
                 {"server", server_id},
                 {"refused", end.is_confirmed ? "yes" : "no"},
                 {"ends", std::to_string(known ? known->unexcused_ends().size() : 0)},
                 {"quarantined", this->suspicions.quarantined().contains(content) ? "yes" : "no"}});
}

void crash_quarantine::note_change(const request_trait& trait, bool is_quarantined, quarantine_source source)
{
    const auto known = this->suspicions.find(trait);
    write_event(log_event::quarantine_changed,
                {{"trait", name_of(trait)},
                 {"fingerprint", to_hex(trait.fingerprint)},
                 {"quarantined", is_quarantined ? "yes" : "no"},
                 {"source", name_of(source)},
                 {"ends", std::to_string(known ? known->unexcused_ends().size() : 0)},
                 {"age_ms", std::to_string(known ? known->age.count() : 0)},
                 {"left_ms", to_milliseconds(this->suspicions.quarantine_left(trait, {}))}});
    if (this->recorder == nullptr || source == quarantine_source::store) {
        return;
    }
    const bool is_own = source == quarantine_source::server_end || source == quarantine_source::completion;
    const auto urgency = is_own ? write_urgency::now : write_urgency::unless_done_by_others;
    if (is_quarantined) {
        this->recorder->record(*known, urgency);
    } else {
        this->recorder->remove(trait, urgency);
    }
}

void crash_quarantine::note_changes(const std::set<request_trait>& quarantined_before,
                                    quarantine_source source)
{
    const auto& quarantined_now = this->suspicions.quarantined();
    bool is_any_added = false;
    for (const auto& trait : quarantined_now) {
        if (!quarantined_before.contains(trait)) {
            is_any_added = true;
            this->note_change(trait, true, source);
        }
    }
    for (const auto& trait : quarantined_before) {
        if (!quarantined_now.contains(trait)) {
            this->note_change(trait, false, source);
        }
    }
    if (is_any_added) {
        for (auto* const listener : this->listeners) {
            listener->on_trait_quarantined();
        }
    }
}

// Records further ends of traits that were quarantined before.
void crash_quarantine::record_news(const std::set<request_trait>& quarantined_before,
                                   const std::set<request_trait>& news)
{
    for (const auto& trait : news) {
        const bool was_quarantined = quarantined_before.contains(trait);
        const auto known = this->suspicions.find(trait);
        if (this->recorder != nullptr && was_quarantined && known &&
            this->suspicions.quarantined().contains(trait)) {
            this->recorder->record(*known, write_urgency::now);
        }
    }
}

void crash_quarantine::send_news(const std::set<request_trait>& traits)
{
    if (this->channel == nullptr) {
        return;
    }
    std::vector<crash_suspicion> news;
    for (const auto& trait : traits) {
        if (const auto known = this->suspicions.find(trait)) {
            news.push_back(*known);
        }
    }
    for (const auto& message : encode_suspicions(news, max_message_bytes, this->time.now())) {
        this->channel->send_to_all(message);
    }
}

result<void> crash_quarantine::receive(std::string_view message)
{
    const auto received = decode_suspicions(message, this->time.now());
    if (!received) {
        return tl::make_unexpected(received.error());
    }
    const auto quarantined_before = this->suspicions.quarantined();
    for (const auto& suspicion : *received) {
        this->suspicions.merge(suspicion);
    }
    this->note_changes(quarantined_before, quarantine_source::peer);
    return {};
}

void crash_quarantine::learn_stored(const std::vector<crash_suspicion>& stored)
{
    const auto quarantined_before = this->suspicions.quarantined();
    for (const auto& suspicion : stored) {
        this->suspicions.merge(suspicion);
    }
    this->note_changes(quarantined_before, quarantine_source::store);
}

void crash_quarantine::check()
{
    this->apply(this->detector.take_silent());
    for (const auto key : this->detector.take_unframed()) {
        this->try_connect(key, this->suspected_servers.at(key).address);
    }
    const auto now = this->time.now();
    if (now - this->repeated_at < repeat_interval || this->suspicions.is_empty()) {
        return;
    }
    this->repeated_at = now;
    const auto quarantined_before = this->suspicions.quarantined();
    this->suspicions.remove_expired();
    this->note_changes(quarantined_before, quarantine_source::expiry);
    if (this->channel != nullptr && !this->suspicions.is_empty()) {
        const auto repeated = this->suspicions.take_next(max_repeated_suspicions);
        for (const auto& message : encode_suspicions(repeated, max_message_bytes, now)) {
            this->channel->send_to_some(message);
        }
    }
}

const std::set<request_trait>& crash_quarantine::quarantined() const
{
    return this->suspicions.quarantined();
}

std::vector<crash_suspicion> crash_quarantine::quarantined_suspicions() const
{
    std::vector<crash_suspicion> known;
    for (const auto& trait : this->suspicions.quarantined()) {
        if (const auto suspicion = this->suspicions.find(trait)) {
            known.push_back(*suspicion);
        }
    }
    return known;
}

} // namespace tanager
