#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "gateway/mocks/no_peers.h"
#include "gateway/request_scheduler.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>
#include <map>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 20261204;

// Engines of the site where the failure was seen.
constexpr std::uint32_t slots_per_engine = 24;
constexpr int decode_engine_count = 7;
constexpr int prefill_engine_count = 4;
constexpr double base_step_milliseconds = 0.579;
constexpr double step_milliseconds_per_request = 0.0191;
constexpr double prefill_engine_tokens_per_millisecond = 303;
constexpr double decode_engine_tokens_per_millisecond = prefill_engine_tokens_per_millisecond / 2;
constexpr std::uint32_t prefill_engine_chunk_tokens = 2'048;
constexpr std::uint32_t decode_engine_chunk_tokens = prefill_engine_chunk_tokens / 4;
constexpr std::uint32_t steps_per_event = 60;

// Load of the same site.
constexpr prompt_shape long_output_shape{1, 80, 140, 12'720};
constexpr std::uint32_t max_output_events = 212;
constexpr std::uint32_t mean_output_events = 90;
constexpr prompt_shape long_prompt_shape{0, 6'300, 2'890, 360};
constexpr std::uint32_t long_prompt_events = 2;
constexpr std::uint64_t prefix_count = 754;
constexpr std::chrono::milliseconds latency_objective{150};
constexpr std::chrono::milliseconds gap_objective{200};
constexpr std::chrono::milliseconds request_timeout{15'000};
constexpr double long_prompts_per_second = 350;
constexpr double long_outputs_per_second = 10;
// The gateway isolates long outputs only after one has come close to its timeout.
constexpr std::chrono::seconds warm_up_time{14};

struct simulated_request : public slot_listener {
    void on_slot_granted(const slot_grant& new_grant) override
    {
        this->grant = new_grant;
        this->is_granted = true;
    }

    void on_slot_denied(placement_error /*cause*/) override
    {
        this->is_rejected = true;
    }

    bool is_long() const
    {
        return this->wanted.prompt.has_long_output();
    }

    slot_request wanted;
    slot_grant grant;
    bool is_granted = false;
    bool is_rejected = false;
    bool is_known = false;
    std::uint32_t remaining_prefill_tokens = 0;
    std::uint32_t remaining_events = 0;
    std::uint32_t steps_to_next_event = 0;
    std::uint32_t total_events = 0;
    time_point started_at;
    time_point last_event_at;
    duration max_event_gap{0};
};

using request_pointer = std::shared_ptr<simulated_request>;

// Runs steps. Each step decodes one token of every request whose prefill is done, and prefills a chunk of the
// first prompt in the queue.
class simulated_engine {
public:
    simulated_engine(bool is_prefill_engine, std::uint32_t chunk_tokens, double tokens_per_millisecond)
        : is_prefill_engine(is_prefill_engine),
          chunk_tokens(chunk_tokens),
          tokens_per_millisecond(tokens_per_millisecond)
    {
    }

    bool is_prefill_engine;
    std::uint32_t chunk_tokens;
    double tokens_per_millisecond;
    std::deque<request_pointer> prefill_queue;
    std::vector<request_pointer> decoding;
    time_point next_step_at;
};

// Simulates engines in virtual time; a real scheduler and server pool choose the engine of each request.
class simulated_fleet {
public:
    simulated_fleet()
    {
        for (int index = 0; index < decode_engine_count + prefill_engine_count; ++index) {
            const bool is_prefill_engine = index >= decode_engine_count;
            backend_server server;
            server.id = (is_prefill_engine ? "reader-" : "generator-") + std::to_string(index);
            server.service = "helper";
            server.address = {"10.0.0.1", static_cast<std::uint16_t>(8'000 + index)};
            server.slots = slots_per_engine;
            server.role = is_prefill_engine ? engine_role::prefill : engine_role::decode;
            this->pool.servers().apply({server.id, server});
            this->engines.emplace(
                server.id,
                simulated_engine{is_prefill_engine,
                                 is_prefill_engine ? prefill_engine_chunk_tokens : decode_engine_chunk_tokens,
                                 is_prefill_engine ? prefill_engine_tokens_per_millisecond
                                                   : decode_engine_tokens_per_millisecond});
        }
    }

    // Sends requests at these rates, both per second, for the given span.
    void run_load(duration span, double long_prompts_per_second, double long_outputs_per_second)
    {
        const auto end = this->time.now() + span;
        const auto to_probability = [](double per_second) {
            return per_second / 1'000;
        };
        while (this->time.now() < end) {
            if (this->draw() < to_probability(long_prompts_per_second)) {
                this->send_long_prompt();
            }
            if (this->draw() < to_probability(long_outputs_per_second)) {
                this->send_long_output();
            }
            this->scheduler.process_queues();
            this->time.advance(1ms);
            for (auto& [id, engine] : this->engines) {
                this->advance(engine);
            }
        }
    }

    std::vector<request_pointer> long_outputs; // in order of arrival
    std::uint32_t long_prompts_in_time = 0;
    std::uint32_t long_prompts = 0;

private:
    double draw()
    {
        constexpr std::uint64_t resolution = 1'000'000;
        return static_cast<double>(this->random.next() % resolution) / static_cast<double>(resolution);
    }

    void send_long_prompt()
    {
        ++this->long_prompts;
        auto shape = long_prompt_shape;
        shape.prefix_key = 1 + this->random.next() % prefix_count;
        this->send(shape, long_prompt_events, latency_objective);
    }

    void send_long_output()
    {
        // One in ten has the full length; the others have 19 to 180 events.
        const double random_fraction = this->draw();
        const auto events = random_fraction < 0.1
                                ? max_output_events
                                : 1 + static_cast<std::uint32_t>(random_fraction * 2 * mean_output_events);
        this->long_outputs.push_back(this->send(long_output_shape, events, latency_objective));
    }

    request_pointer send(const prompt_shape& prompt, std::uint32_t events, duration objective)
    {
        auto request = std::make_shared<simulated_request>();
        request->wanted.service = "helper";
        request->wanted.is_model = true;
        request->wanted.prompt = prompt;
        request->wanted.priority = prompt.has_long_output() ? 0 : 1;
        request->wanted.start_deadline = this->time.now() + objective / 2;
        request->wanted.first_event_deadline = this->time.now() + objective;
        request->started_at = this->time.now();
        request->remaining_events = events;
        request->total_events = events;
        this->pending_requests.push_back(request);
        this->scheduler.request_slot(request->wanted, request);
        this->start_granted_requests();
        return request;
    }

    // Queues the prompts of pending requests that were granted a slot, and forgets granted and rejected ones.
    void start_granted_requests()
    {
        std::erase_if(this->pending_requests, [this](const request_pointer& request) {
            if (request->is_granted) {
                const auto& first_engine = request->grant.prefill_engine == nullptr
                                               ? request->grant.server
                                               : request->grant.prefill_engine;
                request->remaining_prefill_tokens = request->grant.prefill_tokens;
                this->engines.at(first_engine->id).prefill_queue.push_back(request);
            }
            return request->is_granted || request->is_rejected;
        });
    }

    void advance(simulated_engine& engine)
    {
        this->start_granted_requests();
        while (engine.next_step_at <= this->time.now()) {
            if (engine.prefill_queue.empty() && engine.decoding.empty()) {
                engine.next_step_at = this->time.now() + 1ms;
                return;
            }
            this->run_step(engine);
        }
    }

    void run_step(simulated_engine& engine)
    {
        double milliseconds = base_step_milliseconds +
                              step_milliseconds_per_request * static_cast<double>(engine.decoding.size());
        if (!engine.prefill_queue.empty()) {
            const auto request = engine.prefill_queue.front();
            const auto prefilled_tokens = std::min(engine.chunk_tokens, request->remaining_prefill_tokens);
            request->remaining_prefill_tokens -= prefilled_tokens;
            milliseconds += prefilled_tokens / engine.tokens_per_millisecond;
            if (request->remaining_prefill_tokens == 0) {
                engine.prefill_queue.pop_front();
                this->finish_prefill(engine, request);
            }
        }
        engine.next_step_at =
            std::max(engine.next_step_at, this->time.now()) +
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
        auto finished = std::vector<request_pointer>{};
        for (const auto& request : engine.decoding) {
            if (--request->steps_to_next_event == 0) {
                this->emit_event(*request);
            }
            if (request->remaining_events == 0 || this->time.now() - request->started_at > request_timeout) {
                finished.push_back(request);
            }
        }
        for (const auto& request : finished) {
            std::erase(engine.decoding, request);
            this->scheduler.release_slot(request->wanted, request->grant.server->id);
        }
    }

    void finish_prefill(simulated_engine& engine, const request_pointer& request)
    {
        const auto& grant = request->grant;
        if (grant.prefill_tokens > 0) {
            const auto& prefill_engine =
                grant.prefill_engine == nullptr ? grant.server : grant.prefill_engine;
            this->pool.record_prefill_time(
                *prefill_engine, grant.pending_prefill_tokens, this->time.now() - request->started_at);
            this->scheduler.release_prefill("helper", prefill_engine->id, grant.prefill_tokens);
        }
        auto& decode_engine = engine.is_prefill_engine ? this->engines.at(grant.server->id) : engine;
        request->steps_to_next_event = 1;
        decode_engine.decoding.push_back(request);
    }

    void emit_event(simulated_request& request)
    {
        const auto now = this->time.now();
        if (request.remaining_events == request.total_events) {
            this->long_prompts_in_time +=
                !request.is_long() && now - request.started_at <= latency_objective ? 1 : 0;
        } else {
            const std::chrono::duration<double> gap = now - request.last_event_at;
            request.max_event_gap = std::max(request.max_event_gap, now - request.last_event_at);
            if (request.is_long()) {
                const std::chrono::duration<double> elapsed = now - request.started_at;
                this->pool.record_event_gap(*request.grant.server,
                                            gap / std::chrono::duration<double>(gap_objective),
                                            elapsed / std::chrono::duration<double>(request_timeout));
            }
        }
        request.last_event_at = now;
        --request.remaining_events;
        request.steps_to_next_event = steps_per_event;
    }

    manual_clock time;
    seeded_random random{seed};
    no_peers peers;
    server_pool pool{time, "here", 2s, peers};
    uplink_queue_model uplink_queue{time, 0};
    demand_meter demand{time};
    request_scheduler scheduler{time, random, pool, uplink_queue, demand};
    std::map<std::string, simulated_engine> engines;
    std::vector<request_pointer> pending_requests;
};

struct completion_count {
    double ratio() const
    {
        return static_cast<double>(this->completed) / std::max(1U, this->total);
    }

    std::uint32_t total = 0;
    std::uint32_t completed = 0;
};

// Counts the requests from index `first` on that have at least `min_events` events, and how many are
// complete.
completion_count
count_completed(const std::vector<request_pointer>& requests, std::size_t first, std::uint32_t min_events)
{
    completion_count count;
    for (std::size_t index = first; index < requests.size(); ++index) {
        const auto& request = *requests[index];
        if (request.total_events >= min_events) {
            ++count.total;
            count.completed += request.remaining_events == 0 ? 1 : 0;
        }
    }
    return count;
}

class long_output_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(long_output_tests);
    CPPUNIT_TEST(completes_the_largest_long_outputs_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against spreading long outputs over decode engines that also prefill prompts: prefill
    // interference slows them down, and the largest reach their timeout before they are complete.
    void completes_the_largest_long_outputs_in_time()
    {
        section("long prompts and long outputs arrive together for half a minute", [] {
            simulated_fleet fleet;
            fleet.run_load(warm_up_time, long_prompts_per_second, long_outputs_per_second);
            const auto first_after_warm_up = fleet.long_outputs.size();
            fleet.run_load(30s - warm_up_time, long_prompts_per_second, long_outputs_per_second);
            fleet.run_load(request_timeout + 1s, 0, 0);
            const auto all = count_completed(fleet.long_outputs, 0, 0);
            section("the largest long outputs are completed at least half as often as all long outputs", [&] {
                const auto largest = count_completed(fleet.long_outputs, 0, max_output_events);
                CPPUNIT_ASSERT(largest.total > 10);
                CPPUNIT_ASSERT(largest.ratio() >= all.ratio() / 2);
            });
            section("all of the largest long outputs are completed after the warm-up", [&] {
                const auto largest =
                    count_completed(fleet.long_outputs, first_after_warm_up, max_output_events);
                CPPUNIT_ASSERT(largest.total > 5);
                CPPUNIT_ASSERT_EQUAL(largest.total, largest.completed);
            });
            section("most long prompts still get their first event within the objective",
                    [&] { CPPUNIT_ASSERT(fleet.long_prompts_in_time * 2 > fleet.long_prompts); });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_output_tests);

} // namespace

} // namespace tanager
