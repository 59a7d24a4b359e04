#include "peers/peer_exchange.h"

#include "logging/event_log.h"
#include "peers/load_codec.h"
#include "store/object_watcher.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace tanager {

namespace {

constexpr const char* gateway_prefix = "gateways/";
// The shortest time between two reports; a place is filled for tens of milliseconds, so a report is worth a
// tenth.
constexpr std::chrono::milliseconds report_interval{5};
// Above this many peers reports become rarer in proportion, so that their cost stays flat.
constexpr std::size_t peers_at_full_rate = 6;
// An unchanged load is reported this often, so that silence can be told from idleness.
constexpr std::chrono::milliseconds idle_interval{200};
// Five idle reports lost in a row: the peer has ended or is cut off.
constexpr std::chrono::milliseconds silence_allowed{1'000};
constexpr std::chrono::milliseconds register_retry{300};
// Gateways that start together are learned together; one that is learned late only counts less exactly.
constexpr std::chrono::milliseconds gather_peers{1'000};
// The heads of UDP and IP.
constexpr std::size_t datagram_head_bytes = 28;
// Between data centres of one region.
constexpr std::chrono::milliseconds transit_time{2};

class store_peer_exchange final : public peer_exchange, private object_watch_handler {
public:
    store_peer_exchange(event_loop& loop,
                        const clock& time,
                        object_store& store,
                        random_source& random,
                        const peer_settings& settings,
                        uplink_queue_model& link,
                        load_source loads,
                        std::function<void()> heard)
        : loop(loop),
          time(time),
          store(store),
          settings(settings),
          link(link),
          loads(std::move(loads)),
          heard(std::move(heard)),
          view(time, silence_allowed),
          follower(object_watcher::create(loop, store, random, gateway_prefix, *this, {gather_peers}))
    {
    }

    result<void> listen()
    {
        auto created =
            datagram_socket::create(this->loop, this->settings.listen, [this](std::string_view datagram) {
                this->on_datagram(datagram);
            });
        if (!created) {
            return tl::make_unexpected(created.error());
        }
        this->socket = std::move(*created);
        this->follower->start();
        this->register_self();
        this->ticks = this->loop.run_every(report_interval, [this] { this->on_tick(); });
        return {};
    }

    const peer_loads& known_loads() const override
    {
        return this->view;
    }

    duration max_report_age() const override
    {
        return 2 * this->interval() + transit_time;
    }

    void mark_load_changed() override
    {
        this->is_changed = true;
    }

    void announce_role_change(const std::string& server_id) override
    {
        this->changing = server_id.empty() ? 0 : name_hash(server_id);
        this->is_changed = true;
    }

    bool is_changing_role(const std::string& server_id) const override
    {
        return this->changing == name_hash(server_id) || this->view.is_changing_role(server_id);
    }

    void leave() override
    {
        this->is_leaving = true;
        if (this->incarnation == 0) {
            return;
        }
        this->report({});
        this->store.remove(this->own_name(), this->incarnation, [](const result<std::uint64_t>& removed) {
            if (!removed) {
                write_event(log_event::store_unavailable,
                            {{"prefix", gateway_prefix}, {"detail", removed.error().detail}});
            }
        });
    }

private:
    duration interval() const
    {
        return report_interval * std::max<std::size_t>(1, this->peers.size() / peers_at_full_rate);
    }

    std::string own_name() const
    {
        return gateway_prefix + this->settings.host;
    }

    void register_self()
    {
        this->store.get(this->own_name(), [this](const result<stored_object>& found) {
            if (!found && found.error().code != result_code::object_unknown) {
                this->register_later(found.error());
                return;
            }
            this->write_self(found ? found->version : 0);
        });
    }

    void write_self(std::uint64_t expected)
    {
        const nlohmann::json spec{{"address", this->socket->address()}};
        this->store.put(
            this->own_name(), spec.dump(), expected, [this](const result<std::uint64_t>& written) {
                if (!written) {
                    this->register_later(written.error());
                    return;
                }
                this->incarnation = *written;
                this->is_changed = true;
            });
    }

    void register_later(const error& cause)
    {
        write_event(log_event::store_unavailable,
                    {{"prefix", gateway_prefix}, {"detail", "not registered: " + cause.detail}});
        this->retry = this->loop.run_after(register_retry, [this] { this->register_self(); });
    }

    void on_datagram(std::string_view datagram)
    {
        const auto named = decode_report(datagram);
        if (!named) {
            write_event(log_event::frame_dropped, {{"detail", named.error().detail}});
            return;
        }
        if (this->view.apply(named->sender, named->report)) {
            this->heard();
        }
    }

    void on_tick()
    {
        for (const auto& notice : this->view.review()) {
            write_event(notice.is_heard ? log_event::peer_heard : log_event::peer_silent,
                        {{"peer", notice.peer}, {"heard", std::to_string(this->view.live_peer_count())}});
        }
        const auto now = this->time.now();
        const bool is_due = now - this->reported_at >= this->interval() && this->is_changed;
        const bool is_idle_due = now - this->reported_at >= idle_interval;
        if (this->incarnation == 0 || this->is_leaving || (!is_due && !is_idle_due)) {
            return;
        }
        this->reported_at = now;
        this->report(this->loads());
    }

    void report(load_report own)
    {
        this->is_changed = false;
        own.incarnation = this->incarnation;
        own.sequence = ++this->sequence;
        own.role_change_server = this->changing;
        const auto datagram = encode_report({this->settings.host, std::move(own)});
        this->link.record_sent(this->peers.size() * (datagram.size() + datagram_head_bytes));
        for (const auto& [name, address] : this->peers) {
            // A datagram that the kernel does not take is made good by the next report.
            static_cast<void>(this->socket->send(address, datagram));
        }
    }

    std::uint64_t known_revision() const override
    {
        return this->revision;
    }

    watch_action on_listing(const object_listing& listing) override
    {
        if (listing.is_snapshot) {
            this->peers.clear();
        }
        for (const auto& object : listing.objects) {
            this->apply(object);
        }
        this->revision = std::max(this->revision, listing.revision);
        return watch_action::continue_watching;
    }

    void apply(const stored_object& object)
    {
        if (object.name == this->own_name()) {
            return;
        }
        const auto spec = nlohmann::json::parse(object.value, nullptr, false);
        const auto address = spec.is_object() ? parse_address(spec.value("address", std::string{}))
                                              : fail(result_code::address_invalid, object.name);
        if (object.deleted || !address) {
            this->peers.erase(object.name);
            return;
        }
        this->peers.insert_or_assign(object.name, *address);
    }

    void on_store_unavailable(const error& /*cause*/) override {}
    void on_store_recovered() override {}

    event_loop& loop;
    const clock& time;
    object_store& store;
    peer_settings settings;
    uplink_queue_model& link;
    load_source loads;
    std::function<void()> heard;
    peer_loads view;
    std::shared_ptr<object_watcher> follower;
    std::unique_ptr<datagram_socket> socket;
    std::map<std::string, socket_address> peers;
    std::uint64_t revision = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint32_t changing = 0;
    bool is_changed = false;
    bool is_leaving = false;
    time_point reported_at;
    std::unique_ptr<loop_timer> ticks;
    std::unique_ptr<loop_timer> retry;
};

} // namespace

result<std::unique_ptr<peer_exchange>> peer_exchange::create(event_loop& loop,
                                                             const clock& time,
                                                             object_store& store,
                                                             random_source& random,
                                                             const peer_settings& settings,
                                                             uplink_queue_model& link,
                                                             load_source loads,
                                                             std::function<void()> heard)
{
    auto made = std::make_unique<store_peer_exchange>(
        loop, time, store, random, settings, link, std::move(loads), std::move(heard));
    const auto listening = made->listen();
    if (!listening) {
        return tl::make_unexpected(listening.error());
    }
    return made;
}

} // namespace tanager
