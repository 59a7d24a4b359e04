#include "agent/internal/entry_connections.h"

#include "logging/event_log.h"
#include "protocol/catalogue_codec.h"
#include "quarantine/crash_report_codec.h"

namespace tanager {

namespace {

// TCP, HTTP/2 and gRPC framing of one report.
constexpr std::size_t framing_bytes_per_message = 80;
constexpr std::size_t typical_report_bytes = 160;
// Covers a report and its confirmation between regions with one retransmission.
constexpr std::chrono::milliseconds confirmation_timeout{300};

} // namespace

entry_connections::entry_connections(event_loop& loop,
                                     const clock& time,
                                     const agent_settings& settings,
                                     std::uint64_t incarnation,
                                     catalogue& local_catalogue,
                                     const share_limiter& limiter,
                                     agent_availability& availability,
                                     claim_window_tracker& windows,
                                     crash_history& crashes,
                                     std::function<std::size_t()> queue_size)
    : time(time),
      settings(settings),
      incarnation(incarnation),
      local_catalogue(local_catalogue),
      limiter(limiter),
      availability(availability),
      windows(windows),
      crashes(crashes),
      queue_size(std::move(queue_size)),
      confirmations(time, confirmation_timeout),
      report_timer(loop.run_every(settings.min_report_interval, [this] { this->on_tick(); }))
{
}

std::chrono::milliseconds entry_connections::min_interval_for_bandwidth() const
{
    constexpr std::size_t milliseconds_per_second = 1'000;
    const std::size_t bytes_per_round = this->entries.size() * typical_report_bytes;
    const std::chrono::milliseconds min_interval{bytes_per_round * milliseconds_per_second /
                                                 this->settings.max_control_bytes_per_second};
    return std::max(this->settings.min_report_interval, min_interval);
}

std::chrono::milliseconds entry_connections::report_interval_for(const connected_entry& entry) const
{
    return std::max(this->min_interval_for_bandwidth(), entry.requested_report_interval);
}

void entry_connections::on_tick()
{
    this->confirmations.expire();
    const auto now = this->time.now();
    for (auto& [id, entry] : this->entries) {
        if (entry.next_report <= now) {
            this->send(entry, this->make_report());
        }
    }
}

void entry_connections::add(const std::shared_ptr<entry_stream>& stream)
{
    const std::uint64_t id = ++this->last_id;
    auto& entry = this->entries[id];
    entry.stream = stream;
    write_event(log_event::entry_connected, {{"entries", std::to_string(this->entries.size())}});
    stream->on_message([this, id](const protocol::entry_message& message) { this->on_message(id, message); });
    stream->on_closed([this, id] {
        this->entries.erase(id);
        this->confirmations.drop_entry(id);
        write_event(log_event::entry_disconnected, {{"entries", std::to_string(this->entries.size())}});
    });
    auto first_report = this->make_report();
    append_crash_reports(this->crashes, first_report);
    this->send(entry, std::move(first_report));
}

protocol::agent_message entry_connections::make_report() const
{
    protocol::agent_message report;
    report.set_agent_incarnation(this->incarnation);
    report.set_agent_host(this->settings.host);
    report.set_catalogue_revision(this->local_catalogue.revision());
    report.set_leaving(this->availability.is_leaving());
    report.set_ready(this->availability.is_ready());
    report.set_capacity_pieces(this->limiter.capacity());
    report.set_used_pieces(this->limiter.used());
    report.set_queued_requests(static_cast<std::uint32_t>(this->queue_size()));
    // Idle members are left out: entries have the shares from the catalogue.
    for (const auto& row : this->limiter.usage()) {
        if (row.used == 0) {
            continue;
        }
        auto* const use = report.add_members();
        use->set_member(row.member);
        use->set_share_pieces(row.share);
        use->set_used_pieces(row.used);
    }
    return report;
}

void entry_connections::send(connected_entry& entry, protocol::agent_message message)
{
    const auto interval = this->report_interval_for(entry);
    message.set_report_interval_milliseconds(static_cast<std::uint32_t>(interval.count()));
    this->sent_control_bytes += message.ByteSizeLong() + framing_bytes_per_message;
    entry.next_report = this->time.now() + interval;
    entry.stream->send(message);
}

void entry_connections::broadcast_report()
{
    const auto report = this->make_report();
    for (auto& [id, entry] : this->entries) {
        this->send(entry, report);
    }
}

void entry_connections::broadcast_crash_history()
{
    auto report = this->make_report();
    append_crash_reports(this->crashes, report);
    for (auto& [id, entry] : this->entries) {
        this->send(entry, report);
    }
}

void entry_connections::broadcast_crash(const crash_report& report, task confirmed)
{
    this->crashes.record(report);
    std::set<std::uint64_t> recipients;
    for (const auto& [id, entry] : this->entries) {
        recipients.insert(id);
    }
    this->broadcast_crash_history();
    this->confirmations.await_confirmations(report, std::move(recipients), std::move(confirmed));
}

void entry_connections::record_crashes_from(std::uint64_t id, const protocol::entry_message& message)
{
    if (record_crash_reports(message, this->crashes)) {
        this->broadcast_crash_history();
    }
    for (const auto& row : message.crashes()) {
        this->confirmations.confirm(id, {row.crash(), row.fingerprint()});
    }
}

void entry_connections::on_message(std::uint64_t id, const protocol::entry_message& message)
{
    const auto sender = this->entries.find(id);
    if (sender == this->entries.end()) {
        return;
    }
    sender->second.requested_report_interval =
        std::chrono::milliseconds{message.report_interval_milliseconds()};
    for (const auto& row : message.claim_windows()) {
        this->windows.record(row.shard(), row.window());
    }
    this->record_crashes_from(id, message);
    if (message.host_listed_leaving() && !this->availability.is_leaving()) {
        this->availability.set_shutting_down();
        write_event(log_event::agent_leaving, {{"host", this->settings.host}, {"source", "host list"}});
        this->broadcast_report();
    }
    if (message.has_delta()) {
        const auto outcome = this->local_catalogue.apply(from_message(message.delta()));
        if (outcome == delta_outcome::applied) {
            write_event(log_event::catalogue_pulled,
                        {{"revision", std::to_string(this->local_catalogue.revision())},
                         {"source", message.entry_host()}});
            this->broadcast_report();
        }
    }
    const bool is_behind = message.catalogue_revision() > this->local_catalogue.revision();
    if (!is_behind && !message.has_pull()) {
        return;
    }
    auto response = this->make_report();
    if (is_behind) {
        response.mutable_pull()->set_since(this->local_catalogue.revision());
    }
    if (message.has_pull()) {
        fill_message(this->local_catalogue.changes_since(message.pull().since()), *response.mutable_delta());
    }
    this->send(sender->second, std::move(response));
}

void entry_connections::close_all()
{
    this->report_timer.reset();
    // Iterates over a copy, because closing a stream may remove it from `entries` at once.
    const auto closing = this->entries;
    for (const auto& [id, entry] : closing) {
        entry.stream->close();
    }
}

std::size_t entry_connections::connection_count() const
{
    return this->entries.size();
}

std::uint64_t entry_connections::sent_bytes() const
{
    return this->sent_control_bytes;
}

} // namespace tanager
