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
// Bounds a message to about 3 KB.
constexpr std::size_t max_suspicions_per_message = 60;

std::uint64_t key_of(const backend_server& server)
{
    return hash64(server.id, static_cast<std::uint64_t>(server.incarnation));
}

std::string to_milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

crash_quarantine::crash_quarantine(const clock& time, metrics_registry& metrics, server_connector& connector)
    : time(time), metrics(metrics), connector(connector), detector(time), suspicions(time, retention)
{
}

void crash_quarantine::set_channel(suspicion_channel* new_channel)
{
    this->channel = new_channel;
}

duration crash_quarantine::quarantine_left(std::uint64_t fingerprint) const
{
    if (this->suspicions.is_empty() && this->detector.is_idle()) {
        return duration{0};
    }
    return this->suspicions.quarantine_left(fingerprint, this->detector.pending_ends(fingerprint));
}

void crash_quarantine::record_lost_connection(const backend_server& server, const request_traits& request)
{
    const auto key = key_of(server);
    this->suspected_server_ids[key] = server.id;
    if (!this->detector.record_lost_connection(key, request)) {
        return;
    }
    this->metrics.increment_counter("tanager_server_end_checks_total");
    this->connector.try_connect(server.address, [this, key](bool is_accepted) {
        this->apply(this->detector.record_connect(key, is_accepted));
    });
}

void crash_quarantine::record_silence(const backend_server& server, const request_traits& request)
{
    const auto key = key_of(server);
    this->suspected_server_ids[key] = server.id;
    this->detector.record_silence(key, request);
}

void crash_quarantine::record_response(const backend_server& server)
{
    if (!this->detector.is_idle()) {
        this->apply(this->detector.record_response(key_of(server)));
    }
}

void crash_quarantine::record_completion(std::uint64_t fingerprint)
{
    if (!this->suspicions.clear(fingerprint)) {
        return;
    }
    write_event(log_event::request_cleared, {{"content", to_hex(fingerprint)}});
    this->send_news({fingerprint});
}

void crash_quarantine::apply(const std::vector<decided_end>& decisions)
{
    for (const auto& decision : decisions) {
        const auto named = this->suspected_server_ids.extract(decision.server);
        const auto server_id = named.empty() ? std::string{"-"} : named.mapped();
        write_event(log_event::server_end_checked,
                    {{"server", server_id},
                     {"sign", decision.sign == end_sign::silence ? "silent" : "connection_lost"},
                     {"ended", decision.has_ended ? "yes" : "no"},
                     {"after_ms", to_milliseconds(decision.time_suspected)},
                     {"requests", std::to_string(decision.requests.size())}});
        if (!decision.has_ended) {
            continue;
        }
        this->metrics.increment_counter("tanager_server_ends_total");
        std::vector<std::uint64_t> contents;
        for (const auto& request : decision.requests) {
            this->record_end(request, decision, server_id);
            contents.push_back(request.content);
        }
        this->send_news(contents);
    }
}

void crash_quarantine::record_end(const request_traits& request,
                                  const decided_end& decision,
                                  const std::string& server_id)
{
    const bool is_confirmed = decision.sign == end_sign::connection_lost;
    if (!this->suspicions.record_end(request.content, {decision.server, is_confirmed})) {
        return;
    }
    const auto known = this->suspicions.find(request.content);
    const auto left = this->suspicions.quarantine_left(request.content, {});
    write_event(log_event::request_suspected,
                {{"content", to_hex(request.content)},
                 {"prompt_parts", to_hex_list(request.prompt_parts)},
                 {"server", server_id},
                 {"ends", std::to_string(known ? known->ends.size() : 0)},
                 {"quarantined_ms", to_milliseconds(left)}});
}

void crash_quarantine::send_news(const std::vector<std::uint64_t>& fingerprints)
{
    if (this->channel == nullptr) {
        return;
    }
    std::vector<crash_suspicion> news;
    for (const auto fingerprint : fingerprints) {
        if (const auto known = this->suspicions.find(fingerprint)) {
            news.push_back(*known);
        }
        if (news.size() == max_suspicions_per_message) {
            this->channel->send_to_all(encode_suspicions(news));
            news.clear();
        }
    }
    if (!news.empty()) {
        this->channel->send_to_all(encode_suspicions(news));
    }
}

result<void> crash_quarantine::receive(std::string_view message)
{
    const auto received = decode_suspicions(message);
    if (!received) {
        return tl::make_unexpected(received.error());
    }
    for (const auto& suspicion : *received) {
        const bool was_quarantined = this->quarantine_left(suspicion.fingerprint) > duration{0};
        if (!this->suspicions.merge(suspicion)) {
            continue;
        }
        const auto left = this->quarantine_left(suspicion.fingerprint);
        if (was_quarantined != (left > duration{0})) {
            write_event(log_event::quarantine_learned,
                        {{"content", to_hex(suspicion.fingerprint)},
                         {"ends", std::to_string(suspicion.ends.size())},
                         {"age_ms", std::to_string(suspicion.age.count())},
                         {"quarantined_ms", to_milliseconds(left)}});
        }
    }
    return {};
}

void crash_quarantine::check()
{
    this->apply(this->detector.take_silent());
    const auto now = this->time.now();
    if (now - this->repeated_at < repeat_interval || this->suspicions.is_empty()) {
        return;
    }
    this->repeated_at = now;
    this->suspicions.remove_expired();
    if (this->channel != nullptr && !this->suspicions.is_empty()) {
        this->channel->send_to_some(
            encode_suspicions(this->suspicions.most_relevant(max_suspicions_per_message)));
    }
}

std::size_t crash_quarantine::quarantined_count() const
{
    return this->suspicions.quarantined_count();
}

} // namespace tanager
