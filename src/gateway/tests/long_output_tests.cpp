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

// The engines of the site on which the failure was seen.
constexpr std::uint32_t slots = 24;
constexpr int generators = 7;
constexpr int readers = 4;
constexpr double step_milliseconds = 0.579;
constexpr double step_milliseconds_per_request = 0.0191;
constexpr double reader_tokens_per_millisecond = 303;
constexpr double generator_tokens_per_millisecond = reader_tokens_per_millisecond / 2;
constexpr std::uint32_t reader_chunk = 2'048;
constexpr std::uint32_t generator_chunk = reader_chunk / 4;
constexpr std::uint32_t steps_per_event = 60;

// Its callers.
constexpr prompt_shape long_output{1, 80, 140, 12'720};
constexpr std::uint32_t most_events = 212;
constexpr std::uint32_t mean_events = 90;
constexpr prompt_shape check{0, 6'300, 2'890, 360};
constexpr std::uint32_t check_events = 2;
constexpr std::uint64_t shared_parts = 754;
constexpr std::chrono::milliseconds check_objective{150};
constexpr std::chrono::milliseconds allowed_pause{200};
constexpr std::chrono::milliseconds deadline{15'000};
constexpr double checks_per_second = 350;
constexpr double long_outputs_per_second = 10;
// A long output has to come close to its deadline before the gateway can know.
constexpr std::chrono::seconds learning_time{14};

struct model_request : public slot_listener {
    void on_slot_granted(const slot_grant& granted) override
    {
        this->place = granted;
        this->is_placed = true;
    }

    void on_slot_denied(placement_error /*miss*/) override
    {
        this->is_rejected = true;
    }

    bool is_long() const
    {
        return this->wanted.prompt.has_long_output();
    }

    slot_request wanted;
    slot_grant place;
    bool is_placed = false;
    bool is_rejected = false;
    bool is_known = false;    // to its engine
    std::uint32_t unread = 0; // tokens
    std::uint32_t events = 0; // that it still needs
    std::uint32_t steps = 0;  // until its next event
    std::uint32_t size = 0;   // in events
    time_point began;
    time_point last_event;
    duration longest_pause{0};
};

using request_pointer = std::shared_ptr<model_request>;

// Runs steps: one token for each request whose prompt has been read, and a piece of the first unread prompt.
class model_engine {
public:
    model_engine(bool is_reader, std::uint32_t chunk, double tokens_per_millisecond)
        : is_reader(is_reader), chunk(chunk), tokens_per_millisecond(tokens_per_millisecond)
    {
    }

    bool is_reader;
    std::uint32_t chunk;
    double tokens_per_millisecond;
    std::deque<request_pointer> unread;
    std::vector<request_pointer> running;
    time_point next_step;
};

// A site of engines behind one gateway's decisions, in steps of virtual time.
class model_site {
public:
    model_site()
    {
        for (int index = 0; index < generators + readers; ++index) {
            const bool is_reader = index >= generators;
            backend_server server;
            server.id = (is_reader ? "reader-" : "generator-") + std::to_string(index);
            server.service = "helper";
            server.address = {"10.0.0.1", static_cast<std::uint16_t>(8'000 + index)};
            server.slots = slots;
            server.role = is_reader ? engine_role::prefill : engine_role::decode;
            this->pool.servers().apply({server.id, server});
            this->engines.emplace(
                server.id,
                model_engine{is_reader,
                             is_reader ? reader_chunk : generator_chunk,
                             is_reader ? reader_tokens_per_millisecond : generator_tokens_per_millisecond});
        }
    }

    // Plays load for a while; both rates are requests a second.
    void play(duration span, double checks_per_second, double long_outputs_per_second)
    {
        const auto end = this->time.now() + span;
        const auto to_chance = [](double per_second) {
            return per_second / 1'000;
        };
        while (this->time.now() < end) {
            if (this->draw() < to_chance(checks_per_second)) {
                this->ask_check();
            }
            if (this->draw() < to_chance(long_outputs_per_second)) {
                this->ask_long_output();
            }
            this->desk.process_queues();
            this->time.advance(1ms);
            for (auto& [id, engine] : this->engines) {
                this->run(engine);
            }
        }
    }

    std::vector<request_pointer> long_outputs; // in the order in which they came
    std::uint32_t checks_in_time = 0;
    std::uint32_t checks = 0;

private:
    double draw()
    {
        constexpr std::uint64_t resolution = 1'000'000;
        return static_cast<double>(this->random.next() % resolution) / static_cast<double>(resolution);
    }

    void ask_check()
    {
        ++this->checks;
        auto shape = check;
        shape.prefix_key = 1 + this->random.next() % shared_parts;
        this->ask(shape, check_events, check_objective);
    }

    void ask_long_output()
    {
        // Most are short; a tenth has the full length.
        const double share = this->draw();
        const auto size = share < 0.1 ? most_events : 1 + static_cast<std::uint32_t>(share * 2 * mean_events);
        this->long_outputs.push_back(this->ask(long_output, size, check_objective));
    }

    request_pointer ask(const prompt_shape& prompt, std::uint32_t events, duration objective)
    {
        auto request = std::make_shared<model_request>();
        request->wanted.service = "helper";
        request->wanted.is_model = true;
        request->wanted.prompt = prompt;
        request->wanted.priority = prompt.has_long_output() ? 0 : 1;
        request->wanted.latest_start = this->time.now() + objective / 2;
        request->wanted.first_event_deadline = this->time.now() + objective;
        request->began = this->time.now();
        request->events = events;
        request->size = events;
        this->waiting.push_back(request);
        this->desk.request_slot(request->wanted, request);
        this->take_up();
        return request;
    }

    // Hands requests that have been given a place to their engines.
    void take_up()
    {
        std::erase_if(this->waiting, [this](const request_pointer& request) {
            if (request->is_placed) {
                const auto& first = request->place.prefill_engine == nullptr ? request->place.server
                                                                             : request->place.prefill_engine;
                request->unread = request->place.prefill_tokens;
                this->engines.at(first->id).unread.push_back(request);
            }
            return request->is_placed || request->is_rejected;
        });
    }

    void run(model_engine& engine)
    {
        this->take_up();
        while (engine.next_step <= this->time.now()) {
            if (engine.unread.empty() && engine.running.empty()) {
                engine.next_step = this->time.now() + 1ms;
                return;
            }
            this->step(engine);
        }
    }

    void step(model_engine& engine)
    {
        double milliseconds =
            step_milliseconds + step_milliseconds_per_request * static_cast<double>(engine.running.size());
        if (!engine.unread.empty()) {
            const auto request = engine.unread.front();
            const auto piece = std::min(engine.chunk, request->unread);
            request->unread -= piece;
            milliseconds += piece / engine.tokens_per_millisecond;
            if (request->unread == 0) {
                engine.unread.pop_front();
                this->end_reading(engine, request);
            }
        }
        engine.next_step =
            std::max(engine.next_step, this->time.now()) +
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(milliseconds));
        auto finished = std::vector<request_pointer>{};
        for (const auto& request : engine.running) {
            if (--request->steps == 0) {
                this->make_event(*request);
            }
            if (request->events == 0 || this->time.now() - request->began > deadline) {
                finished.push_back(request);
            }
        }
        for (const auto& request : finished) {
            std::erase(engine.running, request);
            this->desk.release_slot(request->wanted, request->place.server->id);
        }
    }

    void end_reading(model_engine& engine, const request_pointer& request)
    {
        const auto& place = request->place;
        if (place.prefill_tokens > 0) {
            const auto& reader = place.prefill_engine == nullptr ? place.server : place.prefill_engine;
            this->pool.record_prefill_time(
                *reader, place.pending_prefill_tokens, this->time.now() - request->began);
            this->desk.release_prefill("helper", reader->id, place.prefill_tokens);
        }
        auto& generator = engine.is_reader ? this->engines.at(place.server->id) : engine;
        request->steps = 1;
        generator.running.push_back(request);
    }

    void make_event(model_request& request)
    {
        const auto now = this->time.now();
        if (request.events == request.size) {
            this->checks_in_time += !request.is_long() && now - request.began <= check_objective ? 1 : 0;
        } else {
            const std::chrono::duration<double> pause = now - request.last_event;
            request.longest_pause = std::max(request.longest_pause, now - request.last_event);
            if (request.is_long()) {
                const std::chrono::duration<double> used = now - request.began;
                this->pool.record_event_gap(*request.place.server,
                                            pause / std::chrono::duration<double>(allowed_pause),
                                            used / std::chrono::duration<double>(deadline));
            }
        }
        request.last_event = now;
        --request.events;
        request.steps = steps_per_event;
    }

    manual_clock time;
    seeded_random random{seed};
    no_peers elsewhere;
    server_pool pool{time, "here", 2s, elsewhere};
    uplink_queue_model link{time, 0};
    demand_meter demand{time};
    request_scheduler desk{time, random, pool, link, demand};
    std::map<std::string, model_engine> engines;
    std::vector<request_pointer> waiting;
};

struct served_count {
    double share() const
    {
        return static_cast<double>(this->whole) / std::max(1U, this->asked);
    }

    std::uint32_t asked = 0;
    std::uint32_t whole = 0;
};

// Counts the requests of a size, from the one with this index on.
served_count
count_served(const std::vector<request_pointer>& requests, std::size_t first, std::uint32_t least_events)
{
    served_count count;
    for (std::size_t index = first; index < requests.size(); ++index) {
        const auto& request = *requests[index];
        if (request.size >= least_events) {
            ++count.asked;
            count.whole += request.events == 0 ? 1 : 0;
        }
    }
    return count;
}

class long_output_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(long_output_tests);
    CPPUNIT_TEST(leaves_the_largest_long_outputs_no_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Long outputs were spread over engines that read prompts, and the largest met their deadline first.
    void leaves_the_largest_long_outputs_no_time()
    {
        section("long prompts and long outputs come together for half a minute", [] {
            model_site site;
            site.play(learning_time, checks_per_second, long_outputs_per_second);
            const auto first_after = site.long_outputs.size();
            site.play(30s - learning_time, checks_per_second, long_outputs_per_second);
            site.play(deadline + 1s, 0, 0);
            const auto all = count_served(site.long_outputs, 0, 0);
            section("the largest are served at least half as often as all", [&] {
                const auto largest = count_served(site.long_outputs, 0, most_events);
                CPPUNIT_ASSERT(largest.asked > 10);
                CPPUNIT_ASSERT(largest.share() >= all.share() / 2);
            });
            section("once the gateway has learned, all of the largest are", [&] {
                const auto largest = count_served(site.long_outputs, first_after, most_events);
                CPPUNIT_ASSERT(largest.asked > 5);
                CPPUNIT_ASSERT_EQUAL(largest.asked, largest.whole);
            });
            section("most checks are still answered in time",
                    [&] { CPPUNIT_ASSERT(site.checks_in_time * 2 > site.checks); });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_output_tests);

} // namespace

} // namespace tanager
