#include "base/mocks/manual_clock.h"
#include "claims/claim_registry.h"
#include "claims/claim_table.h"
#include "store/mocks/fault_injecting_store.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

using tanager::testing::section;

namespace tanager {

namespace {

constexpr std::chrono::hours window_length{24};

claim_request request_of(const std::string& key, const std::string& claimant, const std::string& body = "b")
{
    return {key, body, claimant};
}

// One entry process: its claim registry and its delayed tasks.
struct entry_fixture {
    entry_fixture(fault_injecting_store& store, const clock& time)
        : registry({store,
                    time,
                    [this](duration delay, std::function<void()> task) {
                        this->delayed.push_back({delay, std::move(task)});
                    },
                    [](const std::string&, std::uint64_t) {
                    }})
    {
    }

    void run_next_delayed()
    {
        if (!this->delayed.empty()) {
            const auto task = this->delayed.front().task;
            this->delayed.pop_front();
            task();
        }
    }

    struct delayed_task {
        duration delay;
        std::function<void()> task;
    };

    std::deque<delayed_task> delayed;
    claim_registry registry;
};

} // namespace

class claims_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(claims_tests);
    CPPUNIT_TEST(a_key_is_claimed_once);
    CPPUNIT_TEST(a_table_equals_its_parsed_text);
    CPPUNIT_TEST(claims_expire_after_two_windows);
    CPPUNIT_TEST(a_full_table_grants_no_further_claims);
    CPPUNIT_TEST(an_unavailable_store_grants_no_claims);
    CPPUNIT_TEST(concurrent_entries_run_each_key_at_most_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_key_is_claimed_once()
    {
        claim_table table;
        CPPUNIT_ASSERT(table.claim(request_of("k", "one")).outcome == claim_outcome::granted);
        section("a claim that is applied again is granted again", [&] {
            CPPUNIT_ASSERT(table.claim(request_of("k", "one")).outcome == claim_outcome::granted);
        });
        CPPUNIT_ASSERT(table.claim(request_of("k", "two")).outcome == claim_outcome::already_claimed);
        CPPUNIT_ASSERT(table.claim(request_of("k", "two", "other")).outcome == claim_outcome::key_reused);
        section("only the claimant can release the claim or record its outcome", [&] {
            table.release(request_of("k", "two"));
            table.record(request_of("k", "two"), claim_state::unknown, std::nullopt);
            CPPUNIT_ASSERT(table.claim(request_of("k", "two")).existing_claim->state == claim_state::running);
        });
        table.record(
            request_of("k", "one"), claim_state::complete, claim_answer{200, "text/plain", "receipt 7"});
        section("a recorded answer is not removed or replaced", [&] {
            table.release(request_of("k", "one"));
            table.record(request_of("k", "one"), claim_state::unknown, std::nullopt);
            const auto result = table.claim(request_of("k", "two"));
            CPPUNIT_ASSERT(result.existing_claim->state == claim_state::complete);
            CPPUNIT_ASSERT_EQUAL(std::string{"receipt 7"}, result.existing_claim->answer->body);
        });
    }

    void a_table_equals_its_parsed_text()
    {
        claim_table table;
        table.claim(request_of("k", "one"));
        table.claim(request_of("l", "two"));
        table.record(request_of("l", "two"), claim_state::complete, claim_answer{201, "a/b", "x"});
        CPPUNIT_ASSERT(claim_table::parse(table.to_text()).value() == table);
        CPPUNIT_ASSERT(!claim_table::parse("{\"window\":"));
        section("an answer that is not UTF-8 is not stored", [&] {
            table.record(request_of("k", "one"), claim_state::complete, claim_answer{200, "", "\xff\xfe"});
            CPPUNIT_ASSERT(!table.claim(request_of("k", "x")).existing_claim->answer);
        });
    }

    void claims_expire_after_two_windows()
    {
        manual_clock time;
        claim_table table;
        table.rotate_if_due(time.wall_now(), window_length);
        table.claim(request_of("k", "one"));
        time.advance(window_length);
        table.rotate_if_due(time.wall_now(), window_length);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, table.window());
        CPPUNIT_ASSERT(table.claim(request_of("k", "two")).outcome == claim_outcome::already_claimed);
        time.advance(window_length);
        table.rotate_if_due(time.wall_now(), window_length);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.size());
        section("a new claim of the key has a later window than the old claim",
                [&] { CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, table.claim(request_of("k", "two")).window); });
    }

    void a_full_table_grants_no_further_claims()
    {
        constexpr std::size_t megabyte = 1'000'000;
        claim_table table;
        int granted = 0;
        while (table.claim(request_of(std::string(64, 'k') + std::to_string(granted), "c")).outcome ==
               claim_outcome::granted) {
            table.record(request_of(std::string(64, 'k') + std::to_string(granted), "c"),
                         claim_state::complete,
                         claim_answer{200, "application/json", std::string(2'000, 'x')});
            ++granted;
        }
        CPPUNIT_ASSERT(granted > 100);
        CPPUNIT_ASSERT(table.to_text().size() < megabyte);
    }

    void an_unavailable_store_grants_no_claims()
    {
        manual_clock time;
        fault_injecting_store store(1);
        store.fault_rates.rejected_percent = 100;
        entry_fixture entry(store, time);
        std::vector<claim_outcome> outcomes;
        entry.registry.claim(request_of("k", "one"),
                             [&](const claim_result& result) { outcomes.push_back(result.outcome); });
        while (outcomes.empty()) {
            store.deliver_random_response();
            time.advance(std::chrono::milliseconds{100});
            entry.run_next_delayed();
        }
        CPPUNIT_ASSERT(outcomes.front() == claim_outcome::store_unavailable);
        section("the key can be claimed when the store is available again", [&] {
            store.fault_rates.rejected_percent = 0;
            entry_fixture other(store, time);
            while (store.deliver_random_response() || !entry.delayed.empty()) {
                entry.run_next_delayed();
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entry.registry.pending_writes());
            other.registry.claim(request_of("k", "two"),
                                 [&](const claim_result& result) { outcomes.push_back(result.outcome); });
            while (store.deliver_random_response()) {
            }
            CPPUNIT_ASSERT(outcomes.back() == claim_outcome::granted);
        });
    }

    void concurrent_entries_run_each_key_at_most_once()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            section("seed " + std::to_string(seed), [&] { this->run_concurrent_entries(seed); });
        }
    }

private:
    // Guards against a key that runs twice. Entries claim the same keys over a store with faults, run the
    // granted requests, record or release the claims, and restart in between.
    static void run_concurrent_entries(std::uint64_t seed)
    {
        constexpr int steps = 20'000;
        constexpr std::size_t entry_count = 4;
        std::mt19937_64 random(seed);
        manual_clock time;
        fault_injecting_store store(seed);
        store.fault_rates = {5, 5, 5};
        std::vector<std::unique_ptr<entry_fixture>> entries;
        for (std::size_t i = 0; i < entry_count; ++i) {
            entries.push_back(std::make_unique<entry_fixture>(store, time));
        }
        std::map<std::string, int> runs;
        std::uint64_t granted = 0;
        std::uint64_t replayed = 0;
        std::uint64_t released = 0;
        std::uint64_t last_claimant = 0;
        std::uint64_t restarted_entries = 0;
        for (int step = 0; step < steps; ++step) {
            auto& entry = entries.at(random() % entry_count);
            switch (random() % 6) {
            case 0: {
                const auto request =
                    request_of("key-" + std::to_string(random() % 40 + static_cast<std::uint64_t>(step) / 50),
                               std::to_string(++last_claimant));
                // A restart of the entry destroys the callback, as the end of its process would.
                entry->registry.claim(
                    request, [&, registry = &entry->registry, request](const claim_result& result) {
                        if (result.outcome == claim_outcome::already_claimed) {
                            replayed += result.existing_claim->state == claim_state::complete ? 1 : 0;
                            return;
                        }
                        if (result.outcome != claim_outcome::granted) {
                            return;
                        }
                        ++granted;
                        if (random() % 4 == 0) {
                            ++released;
                            registry->release(request);
                            return;
                        }
                        ++runs[request.key_digest];
                        registry->record_outcome(
                            request, claim_state::complete, claim_answer{200, "t", request.claimant});
                    });
                break;
            }
            case 1:
                time.advance(std::chrono::milliseconds{random() % 200});
                entry->run_next_delayed();
                break;
            case 2:
                if (random() % 200 == 0) {
                    ++restarted_entries;
                    entry = std::make_unique<entry_fixture>(store, time);
                }
                break;
            default:
                store.deliver_random_response();
            }
        }
        for (const auto& [key, count] : runs) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 1, count);
        }
        CPPUNIT_ASSERT_MESSAGE("every kind of fault must have occurred",
                               store.rejected_calls > 10 && store.lost_responses > 10 &&
                                   store.delayed_writes > 10 && store.conflicts > 10 &&
                                   restarted_entries > 0);
        CPPUNIT_ASSERT(runs.size() > 10);
        CPPUNIT_ASSERT(granted > runs.size() && released > 0 && replayed > 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claims_tests);

} // namespace tanager
