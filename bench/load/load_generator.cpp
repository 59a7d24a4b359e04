#include "bench/load/load_generator.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds call_timeout{60'000};
constexpr int status_ok = 200;

// Records the latencies of one response, from the time at which its request was due.
class timing_handler final : public http_response_handler {
public:
    timing_handler(const clock& time, time_point intended_at, load_result& result, std::function<void()> done)
        : time(time), intended_at(intended_at), result(result), done(std::move(done))
    {
    }

    void on_head(int status, const http_headers& /*headers*/) override
    {
        this->is_ok = status == status_ok;
    }

    void on_data(std::string_view /*data*/) override
    {
        if (!this->has_data && this->is_ok) {
            this->has_data = true;
            this->result.time_to_first_byte.add(this->time.now() - this->intended_at);
        }
    }

    void on_end() override
    {
        if (this->is_ok) {
            ++this->result.completed;
            this->result.total_latency.add(this->time.now() - this->intended_at);
        } else {
            ++this->result.failed;
        }
        this->done();
    }

    void on_failure(const http_failure& /*failure*/) override
    {
        ++this->result.failed;
        this->done();
    }

private:
    const clock& time;
    time_point intended_at;
    load_result& result;
    std::function<void()> done;
    bool is_ok = false;
    bool has_data = false;
};

duration draw_arrival_interval(std::mt19937_64& random, double requests_per_second)
{
    std::exponential_distribution<double> intervals(requests_per_second);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(intervals(random)));
}

} // namespace

load_generator::load_generator(event_loop& loop, const clock& time, std::uint64_t seed)
    : loop(loop), time(time), seed(seed), client(http_client::create(loop))
{
}

void load_generator::add_stream(const load_stream_options& options)
{
    auto stream = std::make_unique<load_stream>();
    stream->options = options;
    stream->random.seed(this->seed + this->streams.size());
    this->streams.push_back(std::move(stream));
}

void load_generator::run(duration sending_time)
{
    const auto started_at = this->time.now();
    this->stop_at = started_at + sending_time;
    for (const auto& stream : this->streams) {
        stream->next_send_at =
            started_at + draw_arrival_interval(stream->random, stream->options.requests_per_second);
    }
    this->schedule();
    this->loop.run();
}

void load_generator::schedule()
{
    const auto next =
        std::ranges::min_element(this->streams, {}, [](const auto& s) { return s->next_send_at; });
    const auto delay = std::max((*next)->next_send_at - this->time.now(), duration{});
    this->timer = this->loop.run_after(delay, [this] { this->send_due(); });
}

void load_generator::send_due()
{
    const auto now = this->time.now();
    for (const auto& stream : this->streams) {
        while (stream->next_send_at <= now && stream->next_send_at < this->stop_at) {
            this->send(*stream, stream->next_send_at);
            stream->next_send_at +=
                draw_arrival_interval(stream->random, stream->options.requests_per_second);
        }
    }
    const bool all_streams_ended =
        std::ranges::all_of(this->streams, [&](const auto& s) { return s->next_send_at >= this->stop_at; });
    if (!all_streams_ended) {
        this->schedule();
    } else if (this->open_requests == 0) {
        this->loop.stop();
    }
}

void load_generator::send(load_stream& stream, time_point intended_at)
{
    ++stream.result.started;
    ++this->open_requests;
    auto handler = std::make_shared<timing_handler>(this->time, intended_at, stream.result, [this] {
        --this->open_requests;
        if (this->open_requests == 0 && this->time.now() >= this->stop_at) {
            this->loop.stop();
        }
    });
    this->client->start(
        stream.options.target, stream.options.request, {call_timeout, true}, std::move(handler));
}

const load_result& load_generator::stream_result(std::size_t index) const
{
    return this->streams.at(index)->result;
}

} // namespace tanager
