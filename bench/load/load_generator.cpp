#include "bench/load/load_generator.h"

#include <algorithm>

namespace tanager {

namespace {

constexpr std::chrono::milliseconds call_timeout{60'000};
constexpr int status_ok = 200;

// Times one answer.
class timing_handler final : public http_response_handler {
public:
    timing_handler(const clock& time, time_point intended, load_result& result, std::function<void()> done)
        : time(time), intended(intended), result(result), done(std::move(done))
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
            this->result.time_to_first_byte.add(this->time.now() - this->intended);
        }
    }

    void on_end() override
    {
        if (this->is_ok) {
            ++this->result.completed;
            this->result.total_latency.add(this->time.now() - this->intended);
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
    time_point intended;
    load_result& result;
    std::function<void()> done;
    bool is_ok = false;
    bool has_data = false;
};

duration draw_gap(std::mt19937_64& random, double requests_per_second)
{
    std::exponential_distribution<double> gaps(requests_per_second);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(gaps(random)));
}

} // namespace

load_generator::load_generator(event_loop& loop, const clock& time, std::uint64_t seed)
    : loop(loop), time(time), seed(seed), client(http_client::create(loop))
{
}

void load_generator::add_stream(const load_stream_options& plan)
{
    auto stream = std::make_unique<load_stream>();
    stream->plan = plan;
    stream->random.seed(this->seed + this->streams.size());
    this->streams.push_back(std::move(stream));
}

void load_generator::run(duration length)
{
    const auto begin = this->time.now();
    this->stop_at = begin + length;
    for (const auto& stream : this->streams) {
        stream->next_due = begin + draw_gap(stream->random, stream->plan.requests_per_second);
    }
    this->schedule();
    this->loop.run();
}

void load_generator::schedule()
{
    const auto next = std::ranges::min_element(this->streams, {}, [](const auto& s) { return s->next_due; });
    const auto pause = std::max((*next)->next_due - this->time.now(), duration{});
    this->timer = this->loop.run_after(pause, [this] { this->send_due(); });
}

void load_generator::send_due()
{
    const auto now = this->time.now();
    for (const auto& stream : this->streams) {
        while (stream->next_due <= now && stream->next_due < this->stop_at) {
            this->send(*stream, stream->next_due);
            stream->next_due += draw_gap(stream->random, stream->plan.requests_per_second);
        }
    }
    const bool is_over =
        std::ranges::all_of(this->streams, [&](const auto& s) { return s->next_due >= this->stop_at; });
    if (!is_over) {
        this->schedule();
    } else if (this->open_requests == 0) {
        this->loop.stop();
    }
}

void load_generator::send(load_stream& stream, time_point intended)
{
    ++stream.result.started;
    ++this->open_requests;
    auto handler = std::make_shared<timing_handler>(this->time, intended, stream.result, [this] {
        --this->open_requests;
        if (this->open_requests == 0 && this->time.now() >= this->stop_at) {
            this->loop.stop();
        }
    });
    this->client->start(stream.plan.target, stream.plan.request, {call_timeout, true}, std::move(handler));
}

const load_result& load_generator::stream_result(std::size_t index) const
{
    return this->streams.at(index)->result;
}

} // namespace tanager
