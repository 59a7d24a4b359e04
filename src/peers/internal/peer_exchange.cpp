#include "peers/peer_exchange.h"

#include "logging/event_log.h"
#include "membership/watcher_election.h"
#include "peers/load_codec.h"
#include "peers/report_interval.h"
#include "relay/change_codec.h"
#include "store/object_watcher.h"
#include "store/types/fencing_token.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr const char* gateway_prefix = "gateways/";
// Whether a report is due is checked this often.
constexpr std::chrono::milliseconds tick_interval{5};
// An unchanged load is reported at this interval, so that peers can distinguish an idle gateway from a silent
// one.
constexpr std::chrono::milliseconds idle_report_interval{200};
// Five idle reports in a row are missing: the peer has ended or cannot be reached.
constexpr std::chrono::milliseconds peer_timeout{1'000};
constexpr std::chrono::milliseconds registration_retry_delay{300};
// In a new era of the store every gateway writes its entry again. A few hundred writes are spread over this;
// until then, a gateway whose entry is missing gets no reports.
constexpr std::uint64_t new_era_spread_ms = 500;
// Gateways that start together are taken from the store in one batch. Until a new peer is known, it receives
// no reports, which only makes its view of the load less exact.
constexpr std::chrono::milliseconds coalescing_delay{1'000};
// The headers of UDP and IPv4.
constexpr std::size_t datagram_header_bytes = 28;
// Between data centres of one region.
constexpr std::chrono::milliseconds transit_time{2};
// One may be restarted, or cut off without noticing.
constexpr std::size_t watchers_per_data_centre = 2;
constexpr std::chrono::milliseconds election_interval{100};
// Late changes of the peers only make the view of the load less exact.
constexpr std::chrono::milliseconds watch_wait{10'000};
// A server's entry has some hundred bytes. Larger changes are read from the store.
constexpr std::size_t max_changes_bytes = 8'000;
// The first byte of a datagram.
constexpr char report_message = 'L';
constexpr char changes_message = 'C';
// Peers that get a message for some: after a few rounds, all have it.
constexpr std::size_t some_peers = 3;

class store_peer_exchange final : public peer_exchange, private object_watch_handler, private relay_channel {
public:
    store_peer_exchange(event_loop& loop,
                        const clock& time,
                        watch_relay& store,
                        random_source& random,
                        const peer_settings& settings,
                        uplink_queue_model& link,
                        load_source local_load,
                        report_handler report_callback)
        : loop(loop),
          time(time),
          store(store),
          random(random),
          settings(settings),
          link(link),
          local_load(std::move(local_load)),
          report_callback(std::move(report_callback)),
          received_loads(time, peer_timeout),
          peer_watcher(object_watcher::create(
              loop, store, random, gateway_prefix, *this, {coalescing_delay, watch_wait}))
    {
    }

    store_peer_exchange(const store_peer_exchange&) = delete;
    store_peer_exchange& operator=(const store_peer_exchange&) = delete;
    store_peer_exchange(store_peer_exchange&&) = delete;
    store_peer_exchange& operator=(store_peer_exchange&&) = delete;

    ~store_peer_exchange() override
    {
        this->store.set_channel(nullptr);
    }

    result<void> listen()
    {
        auto created = datagram_socket::create(
            this->loop,
            this->settings.listen,
            [this](std::string_view datagram) { this->on_datagram(datagram); },
            this->settings.max_bind_wait,
            [this] { this->store.record_idle_channel(); });
        if (!created) {
            return tl::make_unexpected(created.error());
        }
        this->socket = std::move(*created);
        this->store.record_idle_channel();
        this->store.set_channel(this);
        this->peer_watcher->start();
        this->register_gateway();
        this->tick_timer = this->loop.run_every(tick_interval, [this] { this->on_tick(); });
        return {};
    }

    const peer_loads& known_loads() const override
    {
        return this->received_loads;
    }

    std::optional<std::size_t> listed_peer_count() const override
    {
        return this->is_list_known ? std::optional{this->peers.size()} : std::nullopt;
    }

    duration max_report_age() const override
    {
        return 2 * std::max(this->interval(), this->received_loads.longest_report_interval()) + transit_time;
    }

    void set_spares_link(bool new_spares_link) override
    {
        this->spares_link = new_spares_link;
    }

    void mark_load_changed() override
    {
        this->is_load_changed = true;
    }

    void announce_role_changes(const std::vector<std::string>& server_ids) override
    {
        this->role_change_servers.clear();
        for (const auto& id : server_ids) {
            this->role_change_servers.push_back(name_hash(id));
        }
        this->is_load_changed = true;
    }

    bool is_changing_role(const std::string& server_id) const override
    {
        return std::ranges::find(this->role_change_servers, name_hash(server_id)) !=
                   this->role_change_servers.end() ||
               this->received_loads.is_changing_role(server_id);
    }

    bool is_elected_watcher() const override
    {
        return this->is_elected();
    }

    void set_message_handler(message_topic topic, message_handler callback) override
    {
        this->message_callbacks[static_cast<char>(topic)] = std::move(callback);
    }

    void send_to_all(message_topic topic, const std::string& message) override
    {
        const auto datagram = static_cast<char>(topic) + message;
        for (const auto& [name, peer] : this->peers) {
            this->send_message(peer.address, datagram);
        }
    }

    void send_to_some(message_topic topic, const std::string& message) override
    {
        const auto datagram = static_cast<char>(topic) + message;
        const auto count = std::min(some_peers, this->peers.size());
        const auto first = this->peers.empty() ? 0 : this->random.next() % this->peers.size();
        for (std::size_t index = 0; index < count; ++index) {
            const auto offset = static_cast<std::ptrdiff_t>((first + index) % this->peers.size());
            this->send_message(std::next(this->peers.begin(), offset)->second.address, datagram);
        }
    }

    void send_to(const std::string& peer, message_topic topic, const std::string& message) override
    {
        const auto found = this->peers.find(gateway_prefix + peer);
        if (found != this->peers.end()) {
            this->send_message(found->second.address, static_cast<char>(topic) + message);
        }
    }

    void leave() override
    {
        this->is_leaving = true;
        if (this->incarnation == 0) {
            return;
        }
        this->send_report({});
        this->store.remove(this->own_name(), this->incarnation, [](const result<std::uint64_t>& removed) {
            if (!removed) {
                write_event(log_event::store_unavailable,
                            {{"prefix", gateway_prefix}, {"detail", removed.error().detail}});
            }
        });
    }

private:
    struct peer_entry {
        socket_address address;
        std::string data_centre;
    };

    duration interval() const
    {
        const auto transmission_time =
            this->spares_link ? this->link.estimate_send_delay(this->last_report_bytes).own : duration{0};
        return min_time_between_reports(this->peers.size(), transmission_time);
    }

    std::string own_name() const
    {
        return gateway_prefix + this->settings.host;
    }

    // A store that comes back from a copy may lack this gateway's entry, or have an earlier one.
    void renew_registration(std::uint64_t listed_revision)
    {
        const bool is_outdated = era_of(listed_revision) > era_of(this->incarnation);
        if (this->incarnation == 0 || !is_outdated || this->is_leaving) {
            return;
        }
        write_event(log_event::store_registration_renewed,
                    {{"object", this->own_name()}, {"era", std::to_string(era_of(listed_revision))}});
        const std::chrono::milliseconds delay{this->random.next() % new_era_spread_ms};
        this->registration_timer = this->loop.run_after(delay, [this] { this->register_gateway(); });
    }

    void register_gateway()
    {
        if (this->is_leaving) {
            return;
        }
        this->store.get(this->own_name(), [this](const result<stored_object>& found) {
            if (!found && found.error().code != result_code::object_unknown) {
                this->retry_registration(found.error());
                return;
            }
            this->write_own_object(found ? found->version : 0);
        });
    }

    void write_own_object(std::uint64_t expected)
    {
        if (this->is_leaving) {
            return;
        }
        const nlohmann::json spec{{"address", this->socket->address()},
                                  {"data_centre", this->settings.data_centre}};
        this->store.put(
            this->own_name(), spec.dump(), expected, [this](const result<std::uint64_t>& written) {
                if (!written) {
                    this->retry_registration(written.error());
                    return;
                }
                this->incarnation = *written;
                this->is_load_changed = true;
            });
    }

    void retry_registration(const error& cause)
    {
        write_event(log_event::store_unavailable,
                    {{"prefix", gateway_prefix}, {"detail", "not registered: " + cause.detail}});
        this->registration_timer =
            this->loop.run_after(registration_retry_delay, [this] { this->register_gateway(); });
    }

    // A datagram that is lost is made up for by a later one.
    void send_message(const socket_address& peer, const std::string& datagram)
    {
        this->link.record_sent(datagram.size() + datagram_header_bytes);
        static_cast<void>(this->socket->send(peer, datagram));
    }

    void on_datagram(std::string_view datagram)
    {
        const char kind = datagram.empty() ? '\0' : datagram.front();
        const auto handler = this->message_callbacks.find(kind);
        if (handler != this->message_callbacks.end()) {
            handler->second(datagram.substr(1));
            return;
        }
        if (kind == changes_message) {
            this->on_changes(datagram.substr(1));
            return;
        }
        const auto named = kind == report_message
                               ? decode_report(datagram.substr(1))
                               : fail(result_code::request_malformed, "a datagram of an unknown kind");
        if (!named) {
            write_event(log_event::frame_dropped, {{"detail", named.error().detail}});
            return;
        }
        if (this->received_loads.apply(named->sender, named->report)) {
            this->store.record_confirmations(named->report.confirmations);
            this->report_callback(named->report);
        }
    }

    void on_changes(std::string_view message)
    {
        const auto relayed = decode_changes(message);
        if (!relayed) {
            write_event(log_event::frame_dropped, {{"detail", relayed.error().detail}});
            return;
        }
        this->store.record_changes(*relayed);
    }

    bool is_elected() const override
    {
        return this->is_watcher;
    }

    void send_changes(const relayed_changes& relayed) override
    {
        auto own = relayed;
        own.sender = this->settings.host;
        const auto datagram = changes_message + encode_changes(own, max_changes_bytes);
        for (const auto& [name, peer] : this->peers) {
            if (peer.data_centre == this->settings.data_centre) {
                this->link.record_sent(datagram.size() + datagram_header_bytes);
                // A peer that misses it notices from the confirmations and reads the store itself.
                static_cast<void>(this->socket->send(peer.address, datagram));
            }
        }
    }

    // Counts only live gateways that the store answers, so that others replace the rest.
    void update_election()
    {
        std::vector<std::string> nearby;
        for (const auto& host : this->received_loads.peers_with_store()) {
            const auto known = this->peers.find(gateway_prefix + host);
            if (known != this->peers.end() && known->second.data_centre == this->settings.data_centre) {
                nearby.push_back(host);
            }
        }
        this->is_watcher = !this->store.is_store_failing() &&
                           tanager::is_elected_watcher(this->settings.host, nearby, watchers_per_data_centre);
    }

    void on_tick()
    {
        for (const auto& change : this->received_loads.expire()) {
            write_event(
                change.is_live ? log_event::peer_heard : log_event::peer_silent,
                {{"peer", change.peer}, {"heard", std::to_string(this->received_loads.live_peer_count())}});
        }
        const auto now = this->time.now();
        if (now - this->elected_at >= election_interval) {
            this->elected_at = now;
            this->update_election();
        }
        this->store.check();
        const bool is_change_due = now - this->reported_at >= this->interval() && this->is_load_changed;
        const bool is_idle_due = now - this->reported_at >= idle_report_interval;
        if (this->incarnation == 0 || this->is_leaving || (!is_change_due && !is_idle_due)) {
            return;
        }
        this->reported_at = now;
        this->send_report(this->local_load());
    }

    void send_report(load_report own_report)
    {
        this->is_load_changed = false;
        own_report.incarnation = this->incarnation;
        own_report.sequence = ++this->sequence;
        own_report.role_change_servers = this->role_change_servers;
        own_report.confirmations = this->store.confirmations();
        own_report.is_store_failing = this->store.is_store_failing();
        own_report.interval_milliseconds = static_cast<std::uint32_t>(
            std::chrono::ceil<std::chrono::milliseconds>(this->interval()).count());
        const auto datagram = report_message + encode_report({this->settings.host, std::move(own_report)});
        this->last_report_bytes = this->peers.size() * (datagram.size() + datagram_header_bytes);
        this->link.record_sent(this->last_report_bytes);
        for (const auto& [name, peer] : this->peers) {
            // A datagram that the kernel does not accept is made up for by the next report.
            static_cast<void>(this->socket->send(peer.address, datagram));
        }
    }

    std::uint64_t known_revision() const override
    {
        return this->revision;
    }

    watch_action on_listing(const object_listing& listing) override
    {
        if (listing.is_snapshot && !listing.is_incomplete) {
            this->peers.clear();
        }
        for (const auto& object : listing.objects) {
            this->apply(object);
        }
        this->revision = std::max(this->revision, listing.revision);
        this->is_list_known = this->is_list_known || (listing.is_snapshot && !listing.is_incomplete);
        if (listing.is_snapshot) {
            this->renew_registration(listing.revision);
        }
        return watch_action::continue_watching;
    }

    // Any process that reaches the store can write such an entry.
    static std::optional<peer_entry> decode_entry(const std::string& value)
    {
        const auto spec = nlohmann::json::parse(value, nullptr, false);
        const auto read_text = [&spec](const char* name) {
            const auto field = spec.is_object() ? spec.find(name) : spec.end();
            return field != spec.end() && field->is_string() ? field->get<std::string>() : std::string{};
        };
        const auto address = parse_address(read_text("address"));
        return address ? std::optional{peer_entry{*address, read_text("data_centre")}} : std::nullopt;
    }

    void apply(const stored_object& object)
    {
        if (object.name == this->own_name()) {
            return;
        }
        const auto entry = object.deleted ? std::nullopt : decode_entry(object.value);
        if (!entry) {
            this->peers.erase(object.name);
            return;
        }
        this->peers.insert_or_assign(object.name, *entry);
    }

    void on_store_unavailable(const error& /*cause*/) override {}
    void on_store_recovered() override {}

    event_loop& loop;
    const clock& time;
    watch_relay& store;
    random_source& random;
    peer_settings settings;
    uplink_queue_model& link;
    load_source local_load;
    report_handler report_callback;
    std::map<char, message_handler> message_callbacks; // by the first byte of the datagram
    peer_loads received_loads;
    std::shared_ptr<object_watcher> peer_watcher;
    std::unique_ptr<datagram_socket> socket;
    std::map<std::string, peer_entry> peers;
    std::uint64_t revision = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::size_t last_report_bytes = 0; // to all peers together
    std::vector<std::uint32_t> role_change_servers;
    bool is_list_known = false;
    bool is_load_changed = false;
    bool is_leaving = false;
    bool spares_link = false;
    bool is_watcher = true;
    time_point elected_at;
    time_point reported_at;
    std::unique_ptr<loop_timer> tick_timer;
    std::unique_ptr<loop_timer> registration_timer;
};

} // namespace

result<std::unique_ptr<peer_exchange>> peer_exchange::create(event_loop& loop,
                                                             const clock& time,
                                                             watch_relay& store,
                                                             random_source& random,
                                                             const peer_settings& settings,
                                                             uplink_queue_model& link,
                                                             load_source local_load,
                                                             report_handler report_callback)
{
    auto made = std::make_unique<store_peer_exchange>(
        loop, time, store, random, settings, link, std::move(local_load), std::move(report_callback));
    const auto listening = made->listen();
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return made;
}

} // namespace tanager
