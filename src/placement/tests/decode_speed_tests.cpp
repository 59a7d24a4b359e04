// Replays long outputs on engines of unequal speed against the decision alone. Guards against long outputs
// that gather on slow engines, where they stay longest, and miss their gap objective by one stretched event.
#include "base/digest.h"
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "fleet/prefill_interference_monitor.h"
#include "fleet/server_speed_model.h"
#include "placement/server_selection.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 49;
constexpr auto step = 5ms;
constexpr auto replayed_time = 30s;
// Long outputs count once the speeds can be known.
constexpr auto learning_time = 3s;
constexpr auto gap_objective = 150ms;
constexpr double event_milliseconds = 53;
constexpr double running_share = 0.003; // by which each running request lengthens an event
constexpr double noise_factor = 2.5;
constexpr std::uint64_t noise_percent = 15;
constexpr std::chrono::milliseconds noise_span{600};
constexpr std::size_t decode_engines = 28;
constexpr std::size_t max_reported = 8;
constexpr auto report_interval = 500ms;
constexpr prompt_shape long_output{0, 80, 140, 6'000};
constexpr std::uint64_t long_output_events = 72;
constexpr std::uint64_t prompt_events = 3;

enum class policy { random_of_two, least_used, without_speeds, with_learned_speeds, with_true_speeds };

struct replayed_engine {
    std::shared_ptr<backend_server> server;
    double speed = 1;
    std::uint32_t running = 0;
    std::uint32_t long_outputs = 0;
};

struct replayed_stream {
    std::size_t engine = 0;
    std::size_t gateway = 0;
    std::uint64_t events_left = 0;
    bool is_long = false;
    bool is_counted = false;
    bool is_late = false;
    time_point last_event_at;
    time_point next_event_at;
};

struct replayed_gateway {
    explicit replayed_gateway(const clock& time) : speeds(time), monitor(time) {}

    server_speed_model speeds;
    prefill_interference_monitor monitor;
};

struct replay_result {
    int long_outputs = 0;
    int on_slow_engines = 0; // whose events exceed the gap objective when stretched
    int late = 0;            // a gap exceeded the objective

    double slow_ratio() const
    {
        return static_cast<double>(this->on_slow_engines) / std::max(1, this->long_outputs);
    }

    double late_ratio() const
    {
        return static_cast<double>(this->late) / std::max(1, this->long_outputs);
    }
};

// What happens to the fleet besides the load.
struct fleet_shape {
    std::vector<double> speeds;
    double turned_slow_factor = 1; // of every seventh engine from second 12 to 18
    bool has_noise = true;
};

class fleet_replay {
public:
    fleet_replay(policy chosen, std::size_t gateway_count, fleet_shape shape)
        : chosen(chosen), shape(std::move(shape))
    {
        for (std::size_t index = 0; index < decode_engines; ++index) {
            replayed_engine added;
            added.server = std::make_shared<backend_server>();
            added.server->id = "d" + std::to_string(index);
            added.server->service = "pool";
            added.server->slots = 32;
            added.server->role = engine_role::decode;
            added.speed = this->shape.speeds[index % this->shape.speeds.size()];
            this->engines.push_back(added);
        }
        for (std::size_t index = 0; index < gateway_count; ++index) {
            this->gateways.push_back(std::make_unique<replayed_gateway>(this->time));
            this->gateways.back()->speeds.record_gap_objective("pool", gap_objective);
        }
    }

    replay_result run()
    {
        const auto begin = this->time.now();
        while (this->time.now() - begin < replayed_time) {
            const auto now = this->time.now();
            const double seconds = std::chrono::duration<double>(now - begin).count();
            // 38 long outputs a second, nearly twice as many in every other span of 2.8 s.
            const bool is_burst = static_cast<int>(seconds / 2.8) % 2 == 0;
            this->is_counting = now - begin >= learning_time;
            this->arrive(is_burst ? 71 : 20, true);
            this->arrive(is_burst ? 100 : 250, false);
            this->send_events();
            this->report();
            this->time.advance(step);
        }
        return this->result;
    }

    std::vector<placement_candidate> candidates(std::size_t gateway)
    {
        std::vector<placement_candidate> found;
        std::vector<std::pair<std::shared_ptr<const backend_server>, std::uint32_t>> measured;
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            const auto& engine = this->engines[index];
            placement_candidate candidate;
            candidate.server = engine.server;
            candidate.peer_running = engine.running;
            candidate.long_outputs = engine.long_outputs;
            candidate.isolate_long_outputs = true;
            candidate.is_slow = this->gateways[gateway]->monitor.is_slow(engine.server->id);
            if (this->chosen == policy::with_true_speeds && this->is_too_slow(index)) {
                candidate.speed = decode_speed::too_slow;
            }
            found.push_back(candidate);
            measured.emplace_back(engine.server, engine.running);
        }
        if (this->chosen == policy::with_learned_speeds) {
            const auto rated = this->gateways[gateway]->speeds.rate(measured);
            for (std::size_t index = 0; index < rated.size(); ++index) {
                found[index].speed = rated[index];
            }
        }
        return found;
    }

private:
    double usual_milliseconds(std::size_t index) const
    {
        const double seconds = std::chrono::duration<double>(this->time.now() - this->begin).count();
        const bool is_turned_slow = index % 7 == 4 && seconds >= 12 && seconds < 18;
        const auto& engine = this->engines[index];
        return event_milliseconds * engine.speed * (1 + running_share * engine.running) *
               (is_turned_slow ? this->shape.turned_slow_factor : 1);
    }

    bool is_too_slow(std::size_t index) const
    {
        return this->usual_milliseconds(index) * (this->shape.has_noise ? noise_factor : 1) >
               std::chrono::duration<double, std::milli>(gap_objective).count();
    }

    duration event_time(std::size_t index) const
    {
        const auto span = static_cast<std::uint64_t>(this->time.now().time_since_epoch() / noise_span);
        const bool is_noisy =
            this->shape.has_noise && hash64(this->engines[index].server->id, span) % 100 < noise_percent;
        const std::chrono::duration<double, std::milli> length{this->usual_milliseconds(index) *
                                                               (is_noisy ? noise_factor : 1)};
        return std::chrono::duration_cast<duration>(length);
    }

    std::optional<std::size_t> place(std::size_t gateway, bool is_long)
    {
        if (is_long && (this->chosen == policy::random_of_two || this->chosen == policy::least_used)) {
            std::vector<std::size_t> options;
            for (std::size_t index = 0; index < this->engines.size(); ++index) {
                options.push_back(index);
            }
            if (this->chosen == policy::random_of_two) {
                options = {this->random.next() % decode_engines, this->random.next() % decode_engines};
            }
            return *std::ranges::min_element(
                options, {}, [&](std::size_t index) { return this->engines[index].running; });
        }
        const auto known = this->candidates(gateway);
        const auto placed = is_long ? choose_engines(long_output, {250ms, gap_objective}, known, this->random)
                                    : choose_decode_engine(known, this->random);
        return placed ? std::optional{placed->server} : std::nullopt;
    }

    void arrive(double per_second, bool is_long)
    {
        constexpr std::uint64_t scale = 1'000'000;
        const double chance = per_second * std::chrono::duration<double>(step).count();
        if (this->random.next() % scale >= static_cast<std::uint64_t>(chance * scale)) {
            return;
        }
        const auto gateway = this->random.next() % this->gateways.size();
        const auto placed = this->place(gateway, is_long);
        if (!placed) {
            return;
        }
        auto& engine = this->engines[*placed];
        ++engine.running;
        engine.long_outputs += is_long ? 1 : 0;
        const bool is_counted = is_long && this->is_counting;
        if (is_counted) {
            ++this->result.long_outputs;
            this->result.on_slow_engines += this->is_too_slow(*placed) ? 1 : 0;
        }
        const auto now = this->time.now();
        const auto events =
            is_long ? long_output_events / 2 + this->random.next() % long_output_events : prompt_events;
        this->streams.push_back(
            {*placed, gateway, events, is_long, is_counted, false, now, now + this->event_time(*placed)});
    }

    void send_events()
    {
        const auto now = this->time.now();
        for (auto& stream : this->streams) {
            if (now < stream.next_event_at) {
                continue;
            }
            auto& engine = this->engines[stream.engine];
            const auto gap = now - stream.last_event_at;
            stream.is_late = stream.is_late || gap > gap_objective;
            auto& gateway = *this->gateways[stream.gateway];
            gateway.speeds.record(*engine.server, {1, gap, engine.running});
            gateway.monitor.record(
                {"pool", engine.server->id, std::chrono::duration<double>(gap) / gap_objective, 0, false});
            stream.last_event_at = now;
            stream.next_event_at = now + this->event_time(stream.engine);
            if (--stream.events_left == 0) {
                --engine.running;
                engine.long_outputs -= stream.is_long ? 1 : 0;
                this->result.late += stream.is_counted && stream.is_late ? 1 : 0;
            }
        }
        std::erase_if(this->streams, [](const auto& stream) { return stream.events_left == 0; });
    }

    // Each gateway reports at another moment, and less often the more there are.
    void report()
    {
        const auto interval = report_interval * std::max<std::size_t>(1, this->gateways.size() / 20);
        for (std::size_t index = 0; index < this->gateways.size(); ++index) {
            const auto& sender = this->gateways[index];
            if ((this->time.now().time_since_epoch() + index * 13 * step) % interval >= step) {
                continue;
            }
            for (const auto& [id, times] : sender->speeds.take_unreported(max_reported)) {
                const auto engine =
                    std::ranges::find(this->engines, id, [](const auto& known) { return known.server->id; });
                for (const auto& receiver : this->gateways) {
                    if (receiver != sender) {
                        receiver->speeds.record_reported(*engine->server, times, interval / 2);
                    }
                }
            }
        }
    }

    manual_clock time;
    time_point begin = time.now();
    seeded_random random{seed};
    policy chosen;
    fleet_shape shape;
    std::vector<replayed_engine> engines;
    std::vector<std::unique_ptr<replayed_gateway>> gateways;
    std::vector<replayed_stream> streams;
    replay_result result;
    bool is_counting = false;
};

replay_result replay(policy chosen, std::size_t gateway_count, const fleet_shape& shape)
{
    static constexpr std::array names{"random of two", "least used", "without speeds", "learned", "true"};
    const auto result = fleet_replay(chosen, gateway_count, shape).run();
    std::cout << names.at(static_cast<std::size_t>(chosen)) << ", " << gateway_count
              << " gateways: " << result.long_outputs << " long outputs, on too slow engines "
              << result.slow_ratio() << ", with a late gap " << result.late_ratio() << '\n';
    return result;
}

class decode_speed_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(decode_speed_tests);
    CPPUNIT_TEST(places_long_outputs_on_engines_that_keep_the_gap_objective);
    CPPUNIT_TEST(changes_nothing_on_equally_fast_engines);
    CPPUNIT_TEST(takes_slower_engines_when_faster_ones_are_full);
    CPPUNIT_TEST_SUITE_END();

public:
    void places_long_outputs_on_engines_that_keep_the_gap_objective()
    {
        const fleet_shape two_speeds{{0.55, 1.2, 1.2, 1.2}};
        for (const std::size_t gateway_count : {4U, 26U, 100U}) {
            section("a quarter of the engines are fast, and every engine has spans of noise", [&] {
                const auto without = replay(policy::without_speeds, gateway_count, two_speeds);
                const auto learned = replay(policy::with_learned_speeds, gateway_count, two_speeds);
                const auto knowing = replay(policy::with_true_speeds, gateway_count, two_speeds);
                section("hardly any long output runs on a slow engine, but most did without speeds", [&] {
                    CPPUNIT_ASSERT(without.slow_ratio() > 0.5);
                    CPPUNIT_ASSERT(learned.slow_ratio() < 0.1);
                });
                section("few have a late gap, nearly as with known speeds", [&] {
                    CPPUNIT_ASSERT(learned.late_ratio() < knowing.late_ratio() + 0.1);
                    CPPUNIT_ASSERT(learned.late_ratio() < without.late_ratio() / 3);
                });
                replay(policy::random_of_two, gateway_count, two_speeds);
                replay(policy::least_used, gateway_count, two_speeds);
            });
        }
        section("every seventh engine turns slow for six seconds", [&] {
            const fleet_shape turning{{0.55, 1.2, 1.2, 1.2}, 7.5};
            const auto without = replay(policy::without_speeds, 26, turning);
            const auto learned = replay(policy::with_learned_speeds, 26, turning);
            replay(policy::with_true_speeds, 26, turning);
            CPPUNIT_ASSERT(learned.late_ratio() < without.late_ratio() / 2);
        });
    }

    void changes_nothing_on_equally_fast_engines()
    {
        section("all engines are equally fast, with noise", [] {
            const fleet_shape equal{{0.55}};
            fleet_replay replayed(policy::with_learned_speeds, 4, equal);
            replayed.run();
            section("all are suitable", [&] {
                for (const auto& candidate : replayed.candidates(0)) {
                    CPPUNIT_ASSERT(candidate.speed == decode_speed::suitable);
                }
            });
        });
        section("all engines are equally slow", [] {
            const fleet_shape equal{{1.2}, 1, false};
            const auto without = replay(policy::without_speeds, 4, equal);
            const auto learned = replay(policy::with_learned_speeds, 4, equal);
            section("long outputs are placed as without speeds", [&] {
                CPPUNIT_ASSERT_EQUAL(without.long_outputs, learned.long_outputs);
                CPPUNIT_ASSERT_EQUAL(without.late, learned.late);
            });
        });
    }

    void takes_slower_engines_when_faster_ones_are_full()
    {
        section("three engines with ten slots each are rated unlike", [] {
            std::vector<placement_candidate> engines(3);
            const std::array speeds{decode_speed::slower, decode_speed::suitable, decode_speed::too_slow};
            for (std::size_t index = 0; index < engines.size(); ++index) {
                auto server = std::make_shared<backend_server>();
                server->id = std::to_string(index);
                server->slots = 10;
                server->role = engine_role::decode;
                engines[index].server = server;
                engines[index].speed = speeds.at(index);
            }
            engines[2].long_outputs = 3;
            for (const bool is_isolating : {false, true}) {
                std::ranges::for_each(engines,
                                      [&](auto& engine) { engine.isolate_long_outputs = is_isolating; });
                seeded_random random{seed};
                const auto chosen = [&] {
                    return choose_engines(long_output, {250ms, gap_objective}, engines, random)->server;
                };
                const auto fill = [&](std::size_t index, std::uint32_t long_outputs) {
                    engines[index].long_outputs = long_outputs;
                    engines[index].peer_running = long_outputs;
                };
                section("the suitable one is chosen, although the too slow one has the most long outputs",
                        [&] { CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen()); });
                section("the slower one is chosen when the suitable one has its share of long outputs", [&] {
                    fill(1, 6);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, chosen());
                });
                section("the last slots of both are used before the too slow one", [&] {
                    fill(0, 6);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chosen());
                    fill(1, 10);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, chosen());
                    fill(0, 10);
                    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chosen());
                });
                fill(0, 0);
                fill(1, 0);
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decode_speed_tests);

} // namespace

} // namespace tanager
