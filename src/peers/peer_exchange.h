// Finds the peers through the store and exchanges load reports with them.
#pragma once

#include "base/random_source.h"
#include "net/datagram_socket.h"
#include "net/event_loop.h"
#include "peers/peer_loads.h"
#include "peers/types/message_topic.h"
#include "relay/watch_relay.h"
#include "uplink/uplink.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanager {

struct peer_settings {
    std::string host; // name of this gateway, unique in the store
    std::string data_centre;
    std::string listen;                         // ip:port for datagrams
    std::chrono::milliseconds max_bind_wait{0}; // for another process to release that address

    friend bool operator==(const peer_settings&, const peer_settings&) = default;
};

// Each gateway keeps one object in the store with its address; the revision of its last write is the
// incarnation in its reports. It is written again in each new era of the store. No report is sent before the
// first write has succeeded. While the store is unavailable, reports to known peers continue. The relay's
// messages use the same socket.
class peer_exchange {
public:
    // Returns the loads and demands of this gateway; the exchange fills in the other fields.
    using load_source = std::function<load_report()>;

    using report_handler = std::function<void(const load_report&)>;

    // `report_callback` is called with each received report that was newer than the last one of its sender.
    // The bytes of sent reports are recorded on `link`, the uplink of the host. Fails when the exchange
    // cannot listen on the address. The references must outlive the
    // exchange.
    static result<std::unique_ptr<peer_exchange>> create(event_loop& loop,
                                                         const clock& time,
                                                         watch_relay& store,
                                                         random_source& random,
                                                         const peer_settings& settings,
                                                         uplink_queue_model& link,
                                                         load_source local_load,
                                                         report_handler report_callback);

    peer_exchange() = default;
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;
    peer_exchange(peer_exchange&&) = delete;
    peer_exchange& operator=(peer_exchange&&) = delete;
    virtual ~peer_exchange() = default;

    virtual const peer_loads& known_loads() const = 0;

    // Returns the number of other gateways in the store's list, which keeps those that have been killed;
    // nullopt before the list is known.
    virtual std::optional<std::size_t> listed_peer_count() const = 0;

    // Returns the maximum age of a peer's last report when none was lost.
    virtual duration max_report_age() const = 0;

    // Marks the load as changed; a report follows within the report interval.
    virtual void mark_load_changed() = 0;

    // Sets whether reports are sent less often from a host with a slow link, to leave that to requests.
    virtual void set_spares_link(bool spares_link) = 0;

    // Reports to the peers that this gateway is changing the roles of these engines, and of no others.
    virtual void announce_role_changes(const std::vector<std::string>& server_ids) = 0;

    // Returns whether this gateway or a peer is changing the role of an engine.
    virtual bool is_changing_role(const std::string& server_id) const = 0;

    // Returns whether this gateway is elected to watch the store for its data centre.
    virtual bool is_elected_watcher() const = 0;

    using message_handler = std::function<void(std::string_view)>;

    // Sets the function that receives other gateways' messages on a topic, which may be lost, repeated and
    // reordered.
    virtual void set_message_handler(message_topic topic, message_handler callback) = 0;

    // Send a message to all peers, to a few that are drawn at random, or to the one with this name if it is
    // known.
    virtual void send_to_all(message_topic topic, const std::string& message) = 0;
    virtual void send_to_some(message_topic topic, const std::string& message) = 0;
    virtual void send_to(const std::string& peer, message_topic topic, const std::string& message) = 0;

    // Reports an empty load, removes this gateway's object from the store and ends the reports.
    virtual void leave() = 0;
};

} // namespace tanager
