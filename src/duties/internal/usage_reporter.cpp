#include "duties/usage_reporter.h"

#include "duties/usage_messages.h"
#include "logging/event_log.h"
#include "store/types/fencing_token.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanager {

namespace {

constexpr const char* usage_subject = "usage";
// How much of a killed gateway's counts is lost at most.
constexpr std::chrono::milliseconds min_counts_interval{500};
// So that a silent holder is noticed within a lease even if messages are lost.
constexpr std::chrono::milliseconds min_announcement_interval{500};
// With more peers, the intervals grow in proportion, which bounds the bytes that the holder sends.
constexpr std::size_t max_peers_at_full_rate = 50;
// The last counts of a window are sent up to an interval after its end, and once more if they are lost. The
// rest of the time until the report is due is for a change of the holder, and for a store that is away.
constexpr int settling_intervals = 2;
constexpr std::chrono::milliseconds settling_transit{200};
constexpr int max_settling_divisor = 2;
// Windows that are kept while the store or the platform is away; a minute with windows of five seconds.
constexpr window_number max_open_windows = 12;
// A shorter lease leaves no time to confirm the holder and to call; a longer one than set is as safe.
constexpr std::chrono::milliseconds min_lease{1'000};
// A call takes up to twice its timeout, and has to end before the lease does.
constexpr int call_timeout_lease_divisor = 3;
constexpr std::chrono::milliseconds retry_delay{1'000};
// By then a holder has heard from the others which time of day they believe.
constexpr std::chrono::milliseconds time_claims_delay{1'000};
// A report that the platform has refused so often is given up, for the later ones to go on.
constexpr int max_refusals = 5;
// A message with so many counts fits into two datagrams of the usual size.
constexpr std::size_t max_entries_handed_over = 100;
// Takes a link of 10 Mbit/s a tenth of a second to two receivers.
constexpr std::size_t max_bytes_handed_over = std::size_t{64} * 1024;
constexpr double milliseconds_per_second = 1'000;

std::string text_of(std::uint64_t number)
{
    return std::to_string(number);
}

usage_settings with_usable_lease(usage_settings settings)
{
    settings.duty.lease = std::max(settings.duty.lease, min_lease);
    return settings;
}

} // namespace

struct usage_reporter::reporter_state : std::enable_shared_from_this<usage_reporter::reporter_state> {
    reporter_state(const clock& time,
                   object_store& store,
                   http_client& client,
                   const usage_codec& codec,
                   duty_channel& channel,
                   metrics_registry& metrics,
                   random_source& random,
                   const usage_settings& settings)
        : time(time),
          store(store),
          client(client),
          codec(codec),
          channel(channel),
          metrics(metrics),
          settings(with_usable_lease(settings)),
          instance(std::max<std::uint64_t>(1, random.next())),
          truth(time,
                std::chrono::duration_cast<duration>(settings.windows.length * settings.windows.tolerance))
    {
        this->first_window = this->current_window();
        this->seen_era = store.known_era();
        this->era_seen_at = time.now();
        this->checked_at = time.now();
    }

    void start()
    {
        this->owner = std::make_shared<duty_owner>(this->time,
                                                   this->store,
                                                   usage_subject,
                                                   this->instance,
                                                   this->settings.duty,
                                                   [weak = this->weak_from_this()](const auto& text) {
                                                       if (const auto alive = weak.lock()) {
                                                           alive->continue_from(text);
                                                       }
                                                   });
    }

    window_number current_window() const
    {
        return window_of(this->settings.windows, this->truth.now());
    }

    usage_sender make_sender() const
    {
        return {this->settings.duty.holder, this->instance, this->truth.now()};
    }

    bool is_plausible(window_number window) const
    {
        const auto current = this->current_window();
        return window + max_open_windows >= current && window <= current + 1;
    }

    void continue_from(const std::string& text)
    {
        const auto found = decode_usage_state(text);
        if (!found) {
            write_event(log_event::store_object_unreadable,
                        {{"object", usage_subject}, {"detail", found.error().detail}});
        }
        // A state that cannot be read, or that comes from a copy of the store, may lack windows that are
        // fixed and perhaps sent. They are not fixed again; those that this process has fixed are reported by
        // it.
        const auto read = found.value_or(usage_state{});
        if (read.fixed_through >= this->fixed.fixed_through) {
            this->fixed = read;
        }
        this->fixed.era = read.era;
        this->fixed.fixed_through = std::max(this->fixed.fixed_through, this->known_fixed_through);
        this->observe_era();
        this->unknown_until.reset();
        if (this->is_of_this_era(this->fixed)) {
            this->follows_holders = true;
        } else if (!this->follows_holders) {
            this->unknown_until = this->era_seen_at;
        }
        this->drop_through(this->fixed.fixed_through);
        this->retry_at = {};
        this->refusals = 0;
        this->announce(false);
    }

    void observe_era()
    {
        const auto era = this->store.known_era();
        if (era != this->seen_era) {
            this->seen_era = era;
            this->era_seen_at = this->time.now();
        }
    }

    bool is_of_this_era(const usage_state& state) const
    {
        return state.era == era_of(this->owner->lease().version());
    }

    // Returns the last window that had ended at a time of the steady clock.
    window_number last_window_before(time_point when) const
    {
        const auto passed = std::chrono::duration_cast<wall_time_point::duration>(this->time.now() - when);
        const auto open = window_of(this->settings.windows, this->truth.now() - passed);
        return open - std::min<window_number>(open, 1);
    }

    // Returns the fixed windows as a state of the era in force. A window that was fixed in an earlier era had
    // ended before any process saw this one; unless this process has followed the holders, all of those
    // count as fixed.
    usage_state state_of_this_era() const
    {
        usage_state next = this->fixed;
        next.era = era_of(this->owner->lease().version());
        if (this->unknown_until) {
            next.fixed_through = std::max(next.fixed_through, this->last_window_before(*this->unknown_until));
        }
        return next;
    }

    // Windows that a gateway with a wrong time says it has fixed are still needed.
    void drop_through(window_number window)
    {
        const auto last = std::min(window, this->current_window() - 1);
        this->known_fixed_through = std::max(this->known_fixed_through, last);
        this->outbox.drop_through(last);
        this->ledger.drop_through(last);
    }

    duration scaled(duration interval, std::size_t peers) const
    {
        const auto factor = std::max<std::size_t>(1, peers / max_peers_at_full_rate);
        return std::min<duration>(interval * factor, this->settings.windows.length / 2);
    }

    void check()
    {
        const auto now = this->time.now();
        // Announcements were missed during a standstill; within a lease no other gateway can have acted.
        if (now - std::exchange(this->checked_at, now) > this->settings.duty.lease) {
            this->follows_holders = false;
        }
        this->observe_era();
        const auto peers = this->sorted_peers();
        this->owner->check(peers);
        this->update_receivers(peers);
        this->counts_interval = this->scaled(min_counts_interval, peers.size());
        if (now - this->counts_sent_at >= this->counts_interval) {
            this->counts_sent_at = now;
            this->send_counts();
        }
        if (!this->owner->lease().is_holder()) {
            return;
        }
        if (now - this->announced_at >= this->scaled(min_announcement_interval, peers.size())) {
            this->agree_on_time();
            this->announce(false);
        }
        this->work();
    }

    // The others stop reporting to a gateway that leaves, which takes requests for some time still. It goes
    // on with those that it knew when most seem to have gone.
    std::vector<std::string> sorted_peers() const
    {
        auto peers = this->channel.live_gateways();
        if (this->is_leaving && 2 * peers.size() < this->peers_at_leave.size()) {
            return this->peers_at_leave;
        }
        std::ranges::sort(peers);
        return peers;
    }

    // Two other gateways hold the counts, or one if this one is among those who may report them: the holder,
    // or the last one while there is none and it lives, and the first gateways by name, who would follow it.
    void update_receivers(const std::vector<std::string>& sorted_peers)
    {
        const auto& own_name = this->settings.duty.holder;
        const auto known = this->owner->lease().holder();
        this->last_holder = known ? known : this->last_holder;
        const bool is_heard =
            known || (this->last_holder && std::ranges::binary_search(sorted_peers, *this->last_holder));
        std::vector<std::string> receivers;
        if (is_heard && this->last_holder != own_name) {
            receivers.push_back(*this->last_holder);
        }
        std::vector<std::string> followers{own_name};
        std::ranges::copy_if(sorted_peers, std::back_inserter(followers), [&](const auto& peer) {
            return peer != this->last_holder;
        });
        std::ranges::sort(followers);
        const bool keeps_own = !this->is_leaving && (known == own_name || followers.front() == own_name);
        const std::size_t needed = keeps_own ? 1 : 2;
        for (const auto& follower : followers) {
            if (receivers.size() < needed && follower != own_name) {
                receivers.push_back(follower);
            }
        }
        receivers.resize(std::min(receivers.size(), needed));
        const auto receiver_at = [&receivers](std::size_t index) {
            return index < receivers.size() ? std::optional{receivers[index]} : std::nullopt;
        };
        this->outbox.set_receiver(usage_outbox::receiver::holder, receiver_at(0));
        this->outbox.set_receiver(usage_outbox::receiver::deputy, receiver_at(1));
    }

    void send_counts()
    {
        for (const auto role : {usage_outbox::receiver::holder, usage_outbox::receiver::deputy}) {
            const auto gateway = this->outbox.gateway_of(role);
            if (!gateway) {
                continue;
            }
            const auto batch = this->outbox.next_batch(role, max_usage_entry_bytes);
            if (!batch.entries.empty()) {
                this->channel.send_to(*gateway,
                                      encode_usage_message(usage_counts_message{
                                          this->make_sender(), batch.sequence, batch.entries}));
            }
        }
    }

    // Passes on what other gateways have told this one, some of which may have ended since.
    void hand_over_ledger()
    {
        std::size_t bytes = 0;
        for (const auto& [process, entries] : this->ledger.counts_by_process()) {
            usage_counts_message message{this->make_sender(), 0, {}};
            message.sender.instance = process;
            for (const auto& entry : entries) {
                message.entries.push_back(entry);
                if (message.entries.size() == max_entries_handed_over) {
                    bytes += this->send_to_receivers(message);
                    message.entries.clear();
                }
            }
            bytes += message.entries.empty() ? 0 : this->send_to_receivers(message);
            if (bytes > max_bytes_handed_over) {
                return;
            }
        }
    }

    std::size_t send_to_receivers(const usage_counts_message& message)
    {
        const auto bytes = encode_usage_message(message);
        for (const auto role : {usage_outbox::receiver::holder, usage_outbox::receiver::deputy}) {
            if (const auto gateway = this->outbox.gateway_of(role)) {
                this->channel.send_to(*gateway, bytes);
            }
        }
        return bytes.size();
    }

    // Leaves open which windows are fixed as long as the state is of an earlier era.
    void announce(bool is_resigning)
    {
        this->announced_at = this->time.now();
        const auto fixed_through = this->is_of_this_era(this->fixed) ? this->fixed.fixed_through : 0;
        this->channel.send_to_all(encode_usage_message(usage_announcement{this->make_sender(),
                                                                          this->owner->lease().token(),
                                                                          this->truth.voters(),
                                                                          fixed_through,
                                                                          is_resigning}));
    }

    void agree_on_time()
    {
        const auto before = this->truth.now();
        if (this->truth.agree()) {
            this->on_time_changed(before, this->truth.voters());
        }
    }

    // Receivers with the right time have not taken counts of windows beyond the next one.
    void on_time_changed(wall_time_point before, std::uint64_t voters)
    {
        const auto current = this->current_window();
        this->outbox.move_later_than(current + 1, current);
        const auto change = std::chrono::duration_cast<std::chrono::milliseconds>(this->truth.now() - before);
        write_event(log_event::time_corrected,
                    {{"by_ms", std::to_string(change.count())}, {"gateways", text_of(voters)}});
    }

    void work()
    {
        const auto now = this->time.now();
        if (!this->owner->is_ready() || this->is_call_in_flight || now < this->retry_at) {
            return;
        }
        // Written before the first window of this era is fixed, so that a successor loses no more windows.
        if (!this->is_of_this_era(this->fixed)) {
            if (now - this->owner->lease().held_since() >= time_claims_delay) {
                this->write(this->state_of_this_era());
            }
            return;
        }
        if (!this->owner->lease().is_predecessor_gone()) {
            return;
        }
        const auto next = this->with_ended_windows();
        const bool is_fixed = next == this->fixed;
        if (is_fixed && next.unsent.empty()) {
            return;
        }
        if (is_fixed && this->owner->lease().may_act()) {
            this->send_report();
            return;
        }
        this->write(next);
    }

    void write(const usage_state& next)
    {
        this->owner->update(encode_usage_state(next), [self = this->shared_from_this(), next](bool is_held) {
            if (!is_held) {
                return;
            }
            self->record_left_out(next);
            self->log_fixed(next);
            // A later correction of the time does not change which windows were left out.
            if (self->is_of_this_era(self->fixed)) {
                self->unknown_until.reset();
            }
            self->fixed = next;
            self->follows_holders = true;
            self->drop_through(next.fixed_through);
            // Announced before the report, since the store may lose this update.
            self->announce(false);
            if (!next.unsent.empty() && self->owner->lease().may_act() && !self->is_call_in_flight) {
                self->send_report();
            }
        });
    }

    // Returns the first window that a state leaves to be fixed.
    window_number first_unfixed(const usage_state& state) const
    {
        return state.fixed_through != 0
                   ? state.fixed_through + 1
                   : std::min(this->first_window, this->ledger.first_window().value_or(this->first_window));
    }

    // Logs the windows that are passed over, with the era that the state was of.
    void record_left_out(const usage_state& next)
    {
        if (!this->unknown_until) {
            return;
        }
        const auto last = std::min(next.fixed_through, this->last_window_before(*this->unknown_until));
        const auto oldest = last - std::min(last, max_open_windows - 1);
        const auto first = std::max({this->first_unfixed(this->fixed), this->left_out_through + 1, oldest});
        if (first > last) {
            return;
        }
        this->left_out_through = last;
        write_event(log_event::usage_left_out,
                    {{"first_window", text_of(first)},
                     {"last_window", text_of(last)},
                     {"state_era", text_of(this->fixed.era)},
                     {"store_era", text_of(next.era)}});
        this->metrics.increment_counter("tanager_usage_windows_left_out_total", "", last - first + 1);
    }

    // Returns the state with the counts of the windows that have ended and settled.
    usage_state with_ended_windows()
    {
        usage_state next = this->state_of_this_era();
        const auto settling_delay =
            std::min<duration>(settling_intervals * this->counts_interval + settling_transit,
                               this->settings.windows.max_delay / max_settling_divisor);
        const auto end = window_of(this->settings.windows,
                                   this->truth.now() -
                                       std::chrono::duration_cast<wall_time_point::duration>(settling_delay));
        const auto first = std::max(this->first_unfixed(next), end - std::min(end, max_open_windows));
        if (first >= end) {
            return next;
        }
        for (const auto& [window, counts] : this->outbox.counts()) {
            for (const auto& [organisation, count] : counts) {
                this->ledger.record(this->instance, {window, organisation, count});
            }
        }
        for (auto window = first; window < end; ++window) {
            next.unsent.push_back({window, this->ledger.counts_in(window)});
            next.fixed_through = window;
        }
        while (next.unsent.size() > max_open_windows) {
            write_event(log_event::usage_given_up,
                        {{"window", text_of(next.unsent.front().window)}, {"cause", "too old"}});
            next.unsent.erase(next.unsent.begin());
        }
        return next;
    }

    void log_fixed(const usage_state& next) const
    {
        for (const auto& usage : next.unsent) {
            if (usage.window <= this->fixed.fixed_through) {
                continue;
            }
            std::uint64_t requests = 0;
            for (const auto& [organisation, count] : usage.counts) {
                requests += count;
            }
            write_event(log_event::usage_fixed,
                        {{"window", text_of(usage.window)},
                         {"organisations", text_of(usage.counts.size())},
                         {"requests", text_of(requests)},
                         {"token", text_of(this->owner->lease().token())}});
        }
    }

    // Reports the first unsent window. The holder has confirmed itself a moment ago.
    void send_report()
    {
        const auto& usage = this->fixed.unsent.front();
        const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
            this->settings.duty.lease / call_timeout_lease_divisor);
        http_call_options options;
        options.timeout = timeout;
        // On a connection that was used before, a second copy of an earlier response could be taken for this
        // one's.
        options.reuse_connection = false;
        this->is_call_in_flight = true;
        const auto spacing = std::chrono::duration<double, std::milli>{
            milliseconds_per_second / std::max(this->settings.max_calls_per_second, 1e-3)};
        this->retry_at = this->time.now() + std::chrono::duration_cast<duration>(spacing);
        this->client.fetch(
            this->settings.address,
            this->codec.encode_usage(usage, this->settings.duty.holder, this->owner->lease().token()),
            options,
            [self = this->shared_from_this(), window = usage.window](const auto& response) {
                self->on_response(window, response);
            });
    }

    void on_response(window_number window, const tl::expected<http_response, http_failure>& response)
    {
        this->is_call_in_flight = false;
        const auto outcome =
            response.has_value() ? this->codec.decode_outcome(*response) : report_outcome::postponed;
        // Another holder may have been in between, and may have sent it.
        const bool is_pending = !this->fixed.unsent.empty() && this->fixed.unsent.front().window == window;
        if (!is_pending) {
            return;
        }
        if (outcome == report_outcome::accepted) {
            this->refusals = 0;
            const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(
                this->truth.now() - end_of(this->settings.windows, window));
            const bool is_late = delay > this->settings.windows.max_delay;
            write_event(is_late ? log_event::usage_late : log_event::usage_sent,
                        {{"window", text_of(window)}, {"after_ms", std::to_string(delay.count())}});
            this->metrics.increment_counter("tanager_usage_reports_total",
                                            is_late ? "outcome=\"late\"" : "outcome=\"in_time\"");
            this->fixed.unsent.erase(this->fixed.unsent.begin());
            return;
        }
        const std::string cause = response.has_value() ? "status " + std::to_string(response->status)
                                                       : response.error().cause.detail;
        write_event(log_event::usage_postponed, {{"window", text_of(window)}, {"cause", cause}});
        this->metrics.increment_counter("tanager_usage_reports_total", "outcome=\"postponed\"");
        this->retry_at = std::max(this->retry_at, this->time.now() + retry_delay);
        this->refusals += outcome == report_outcome::refused ? 1 : 0;
        if (this->refusals >= max_refusals) {
            this->refusals = 0;
            write_event(log_event::usage_given_up, {{"window", text_of(window)}, {"cause", cause}});
            this->fixed.unsent.erase(this->fixed.unsent.begin());
        }
    }

    void receive(const usage_counts_message& message)
    {
        this->truth.record_claim(message.sender.gateway, message.sender.time);
        for (const auto& entry : message.entries) {
            if (!this->is_plausible(entry.window) || !this->ledger.record(message.sender.instance, entry)) {
                this->metrics.increment_counter("tanager_usage_counts_dropped_total");
            }
        }
        this->channel.send_to(
            message.sender.gateway,
            encode_usage_message(usage_acknowledgement{this->make_sender(), message.sequence}));
    }

    void receive(const usage_acknowledgement& message)
    {
        this->truth.record_claim(message.sender.gateway, message.sender.time);
        this->outbox.acknowledge(message.sender.gateway, message.sender.instance, message.sequence);
    }

    void receive(const usage_announcement& message)
    {
        const bool was_holder = this->owner->lease().is_holder();
        const auto token = this->owner->lease().token();
        this->owner->lease().record_holder(message.sender.gateway, message.token, message.is_resigning);
        if (was_holder && !this->owner->lease().is_holder()) {
            write_event(log_event::duty_lost,
                        {{"subject", usage_subject},
                         {"token", text_of(token)},
                         {"cause", "held by " + message.sender.gateway}});
        }
        if (this->owner->lease().holder() != message.sender.gateway) {
            return;
        }
        const auto before = this->truth.now();
        if (this->truth.record_agreed(message.sender.time, message.voters)) {
            this->on_time_changed(before, message.voters);
        }
        if (message.fixed_through != 0) {
            this->follows_holders = true;
            this->drop_through(message.fixed_through);
        } else if (this->follows_holders) {
            this->channel.send_to(
                message.sender.gateway,
                encode_usage_message(usage_fixed_notice{this->make_sender(), this->known_fixed_through}));
        }
    }

    // Completes a state of an earlier era with the windows that another gateway has recorded as fixed.
    void receive(const usage_fixed_notice& message)
    {
        this->truth.record_claim(message.sender.gateway, message.sender.time);
        if (!this->owner->lease().is_holder() || this->is_of_this_era(this->fixed)) {
            return;
        }
        this->follows_holders = true;
        this->unknown_until.reset();
        this->drop_through(message.fixed_through);
        this->fixed.fixed_through = std::max(this->fixed.fixed_through, this->known_fixed_through);
    }

    void leave()
    {
        if (this->owner->lease().is_holder()) {
            this->owner->resign();
            this->announce(true);
        }
        this->owner->resign();
        this->peers_at_leave = this->sorted_peers();
        this->is_leaving = true;
        this->update_receivers(this->peers_at_leave);
        this->send_counts();
        this->hand_over_ledger();
    }

    const clock& time;
    object_store& store;
    http_client& client;
    const usage_codec& codec;
    duty_channel& channel;
    metrics_registry& metrics;
    usage_settings settings;
    std::uint64_t instance;
    true_time truth;
    std::shared_ptr<duty_owner> owner;
    usage_outbox outbox;
    usage_ledger ledger;
    usage_state fixed; // as it was last written or read by the holder, less what has been sent since
    std::optional<std::string> last_holder; // that was heard of, or this gateway
    window_number first_window = 0;
    window_number known_fixed_through = 0;
    std::uint64_t seen_era = 0; // of the store
    time_point era_seen_at;
    time_point checked_at;
    // Whether this process has recorded what the last holder fixed, from announcements or as a holder.
    bool follows_holders = false;
    std::optional<time_point> unknown_until; // windows that ended before it may be fixed
    window_number left_out_through = 0;
    time_point counts_sent_at;
    duration counts_interval{min_counts_interval};
    time_point announced_at;
    time_point retry_at;
    bool is_call_in_flight = false;
    bool is_leaving = false;
    std::vector<std::string> peers_at_leave;
    int refusals = 0; // of the first unsent window
};

usage_reporter::usage_reporter(const clock& time,
                               object_store& store,
                               http_client& client,
                               const usage_codec& codec,
                               duty_channel& channel,
                               metrics_registry& metrics,
                               random_source& random,
                               const usage_settings& settings)
    : state(std::make_shared<reporter_state>(time, store, client, codec, channel, metrics, random, settings))
{
    this->state->start();
}

usage_reporter::~usage_reporter() = default;

void usage_reporter::record_began(const std::string& organisation)
{
    this->state->outbox.record(this->state->current_window(), organisation);
}

void usage_reporter::check()
{
    this->state->check();
}

result<void> usage_reporter::receive(std::string_view message)
{
    const auto decoded = decode_usage_message(message);
    if (!decoded) {
        return tl::make_unexpected(decoded.error());
    }
    std::visit([this](const auto& received) { this->state->receive(received); }, *decoded);
    return {};
}

void usage_reporter::leave()
{
    this->state->leave();
}

void usage_reporter::flush()
{
    this->state->send_counts();
}

void usage_reporter::refresh_gauges() const
{
    const auto& lease = this->state->owner->lease();
    const std::string series = std::string{"subject=\""} + usage_subject + "\"";
    this->state->metrics.set_gauge("tanager_duty_held", lease.is_holder() ? 1 : 0, series);
    const std::chrono::duration<double> held_for = this->state->time.now() - lease.held_since();
    this->state->metrics.set_gauge(
        "tanager_duty_held_seconds", lease.is_holder() ? held_for.count() : 0, series);
    this->state->metrics.set_gauge("tanager_usage_windows_unsent",
                                   lease.is_holder() ? static_cast<double>(this->state->fixed.unsent.size())
                                                     : 0);
}

} // namespace tanager
