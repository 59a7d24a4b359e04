// A fleet of stand-in servers that send streams, and callers that ask for them.
#pragma once

#include "event_stream.h"

#include <atomic>
#include <set>

namespace review {

struct fleet_settings {
    int servers = 0;
    int callers = 0;
    std::uint64_t events = 0;
    std::chrono::milliseconds event_interval{0};
};

// How a server ends the streams that it sends while it is in trouble, each in the middle of an event.
enum class stream_fault {
    break_off,  // as a crash: the connections close, new ones too
    stay_silent // as a server that goes dark: the connections stay open, nothing more comes
};

class stream_fleet {
public:
    stream_fleet(test_case& test, const fleet_settings& settings, stream_fault fault);

    // The ids are i-1, i-2 and so on.
    void start_servers();
    // Answers this share of the requests to a server with status 500, from now on.
    void set_failing(const std::string& id, double share);
    void set_in_trouble(const std::set<std::string>& ids);

    // Callers ask for one stream after the other until the time is over.
    void run_callers(const std::string& gateway, std::chrono::milliseconds time);

    int complete_streams() const;
    // Streams whose bytes break the rule ORDER.
    int broken_streams() const;

private:
    bool serve(backend_server& server, connection& peer, const http_message& request);
    bool is_in_trouble(const std::string& id);
    bool fails_now(const std::string& id);
    bool end_in_trouble(backend_server& server, connection& peer, const std::string& event);
    void ask_until(const std::string& gateway, int caller, steady_time end);

    test_case& test;
    fleet_settings settings;
    stream_fault fault;
    std::mutex mutex;
    std::set<std::string> troubled_ids;
    std::string failing_id;
    double failing_share = 0;
    double failing_credit = 0;
    std::atomic<int> complete = 0;
    std::atomic<int> broken = 0;
};

} // namespace review
