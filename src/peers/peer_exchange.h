// Finds the other gateways through the store and tells them this one's load.
#pragma once

#include "base/random_source.h"
#include "net/datagram_socket.h"
#include "net/event_loop.h"
#include "peers/peer_loads.h"
#include "store/object_store.h"
#include "uplink/uplink.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tanager {

struct peer_settings {
    std::string host;   // this gateway's name, unique in the store
    std::string listen; // ip:port for datagrams

    friend bool operator==(const peer_settings&, const peer_settings&) = default;
};

// Each gateway keeps one object in the store with its address; the revision of its last write is the
// incarnation in its reports. Nothing is sent before that write has succeeded. Without the store, known peers
// are told on.
class peer_exchange {
public:
    // Returns what this gateway has running and was asked for; the exchange fills in the rest.
    using load_source = std::function<load_report()>;

    // `heard` is called after each report that changed what is known; reports count on the host's `link`.
    // Fails when the address cannot be listened on.
    static result<std::unique_ptr<peer_exchange>> create(event_loop& loop,
                                                         const clock& time,
                                                         object_store& store,
                                                         random_source& random,
                                                         const peer_settings& settings,
                                                         uplink_queue_model& link,
                                                         load_source local_load,
                                                         std::function<void()> report_callback);

    peer_exchange() = default;
    peer_exchange(const peer_exchange&) = delete;
    peer_exchange& operator=(const peer_exchange&) = delete;
    peer_exchange(peer_exchange&&) = delete;
    peer_exchange& operator=(peer_exchange&&) = delete;
    virtual ~peer_exchange() = default;

    virtual const peer_loads& known_loads() const = 0;

    // Returns how old a report may be when it counts, if none was lost.
    virtual duration max_report_age() const = 0;

    // Marks the load as changed; a report follows within the report interval.
    virtual void mark_load_changed() = 0;

    // Tells the peers that this gateway is changing the role of an engine; empty when it no longer is.
    virtual void announce_role_change(const std::string& server_id) = 0;

    virtual bool is_changing_role(const std::string& server_id) const = 0;

    // Takes this gateway's object out of the store and reports an empty load.
    virtual void leave() = 0;
};

} // namespace tanager
