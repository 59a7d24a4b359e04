// Tells the end of a backend server from a lost connection and from a slow response.
#pragma once

#include "base/clock.h"
#include "quarantine/types/crash_suspicion.h"
#include "quarantine/types/request_traits.h"

#include <cstdint>
#include <map>
#include <vector>

namespace tanager {

// Why a server is suspected of having ended.
enum class end_sign {
    connection_lost,  // a connection broke while a request ran
    silence,          // a request has had no response for long
    unframed_response // a response ended with its connection, which may also be the end of the server
};

// A suspicion that is decided.
struct decided_end {
    std::uint64_t server = 0; // hash of the server's id and incarnation
    end_sign sign = end_sign::connection_lost;
    bool has_ended = false;
    duration time_suspected{0};
    std::vector<running_request> requests; // that the server ran

    friend bool operator==(const decided_end&, const decided_end&) = default;
};

// Load pattern: connections are reset, responses are lost, and servers are slow, far more often than servers
// end. After a lost connection a new one decides: an ended process refuses it. A silent server has ended when
// it sends nothing to any request for a while.
class server_end_detector {
public:
    explicit server_end_detector(const clock& time);

    // Records that the connection of a running request broke. Returns whether a new connection to the server
    // must be tried, whose result is passed to `record_connect`.
    bool record_lost_connection(std::uint64_t server, const running_request& request);

    // Records that a running request has had no response for long.
    void record_silence(std::uint64_t server, const running_request& request);

    // Records that a response ended with its connection and with nothing else.
    void record_unframed_response(std::uint64_t server, const running_request& request);

    // Returns the servers that have ended a response so since the last call, and to which a new connection
    // must now be tried, whose result is passed to `record_connect`.
    std::vector<std::uint64_t> take_unframed();

    // Records that the server has sent something. Returns the suspicion that this dismisses.
    std::vector<decided_end> record_response(std::uint64_t server);

    // Records whether the server accepted a new connection.
    std::vector<decided_end> record_connect(std::uint64_t server, bool is_accepted);

    // Returns the servers that have been silent for too long.
    std::vector<decided_end> take_silent();

    // Returns the servers that may have ended under requests with this content, none of them confirmed.
    std::vector<server_end> pending_ends(std::uint64_t content) const;

    bool is_idle() const;

private:
    struct suspected_server {
        end_sign sign = end_sign::connection_lost;
        time_point since;
        std::vector<running_request> requests;
    };

    suspected_server& suspect(std::uint64_t server, end_sign sign, const running_request& request);
    std::vector<decided_end> decide(std::uint64_t server, bool has_ended);

    const clock& time;
    std::map<std::uint64_t, suspected_server> suspected;
};

} // namespace tanager
