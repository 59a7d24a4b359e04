// Open-loop load: requests are sent at their intended times whether or not earlier ones have completed, and
// latency is measured from the intended time.
#pragma once

#include "base/clock.h"
#include "bench/load/latency_report.h"
#include "net/event_loop.h"
#include "net/http_client.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace tanager {

// A stream of equal requests to one address.
struct load_stream_options {
    std::string name;
    socket_address target;
    http_request request;
    double requests_per_second = 100;
};

struct load_result {
    latency_report time_to_first_byte;
    latency_report total_latency;
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
};

class load_generator {
public:
    // Arrivals are a Poisson process. Each stream draws from its own generator, seeded with `seed` plus its
    // index.
    load_generator(event_loop& loop, const clock& time, std::uint64_t seed);

    void add_stream(const load_stream_options& options);

    // Sends requests for the given time, then waits until every open request has completed or failed.
    void run(duration sending_time);

    const load_result& stream_result(std::size_t index) const;

private:
    struct load_stream {
        load_stream_options options;
        std::mt19937_64 random;
        time_point next_send_at;
        load_result result;
    };

    void send_due();
    void send(load_stream& stream, time_point intended_at);
    void schedule();

    event_loop& loop;
    const clock& time;
    std::uint64_t seed;
    std::unique_ptr<http_client> client;
    std::vector<std::unique_ptr<load_stream>> streams;
    time_point stop_at;
    std::uint64_t open_requests = 0;
    std::unique_ptr<loop_timer> timer;
};

} // namespace tanager
