// Tests that quarantines outlast the gateways that know of them. Guards against a gateway that starts and
// takes requests that the others refuse.
#include "base/digest.h"
#include "base/mocks/manual_clock.h"
#include "base/mocks/seeded_random.h"
#include "gateway/internal/quarantine_archive.h"
#include "gateway/mocks/fake_server_connector.h"
#include "quarantine/stored_suspicion_codec.h"
#include "store/types/fencing_token.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::uint64_t seed = 3;
constexpr request_trait culprit{100, request_trait::content_specificity};
constexpr std::uint64_t other_content = 200;

// Holds objects, and the results of writes until the test delivers them.
class holding_store final : public object_store {
public:
    void list(const std::string& /*prefix*/, listing_callback /*callback*/) override {}
    void watch(const std::string& /*prefix*/,
               std::uint64_t /*since*/,
               std::chrono::milliseconds /*max_wait*/,
               listing_callback /*callback*/) override
    {
    }
    void get(const std::string& /*name*/, object_callback /*callback*/) override {}

    void put(const std::string& name,
             const std::string& value,
             std::uint64_t expected,
             version_callback callback) override
    {
        ++this->call_count;
        const auto found = this->objects.find(name);
        const auto version = found == this->objects.end() ? 0 : found->second.version;
        result<std::uint64_t> written = this->revision + 1;
        if (!this->is_available) {
            written = fail(result_code::store_unavailable, "down");
        } else if (version != expected) {
            written = fail(result_code::version_conflict, name);
        } else {
            this->objects[name] = {name, ++this->revision, false, value};
        }
        this->results.emplace_back([callback, written] { callback(written); });
    }

    std::uint64_t known_era() const override
    {
        return 0;
    }

    void remove(const std::string& name, std::uint64_t /*expected*/, version_callback callback) override
    {
        ++this->call_count;
        result<std::uint64_t> written = this->revision + 1;
        if (!this->is_available) {
            written = fail(result_code::store_unavailable, "down");
        } else if (this->objects.erase(name) == 0) {
            written = fail(result_code::object_unknown, name);
        } else {
            ++this->revision;
        }
        this->results.emplace_back([callback, written] { callback(written); });
    }

    void deliver()
    {
        const auto due = std::exchange(this->results, {});
        for (const auto& each : due) {
            each();
        }
    }

    object_listing snapshot() const
    {
        object_listing listing{0, this->revision, true, {}};
        for (const auto& [name, object] : this->objects) {
            listing.objects.push_back(object);
        }
        return listing;
    }

    std::map<std::string, stored_object> objects;
    std::uint64_t revision = 10;
    bool is_available = true;
    int call_count = 0;

private:
    std::deque<std::function<void()>> results;
};

// A gateway's quarantine and its archive.
struct archiving_gateway {
    archiving_gateway(const manual_clock& time, holding_store& store)
        : quarantine(time, metrics, connector), archive(time, random, store, quarantine)
    {
    }

    void end_server(const std::string& id)
    {
        backend_server ended;
        ended.id = id;
        ended.address = {id, 1};
        this->connector.ended.insert(ended.address);
        this->quarantine.record_lost_connection(ended, {{culprit.fingerprint, {}}, {}});
    }

    bool is_quarantined() const
    {
        return this->quarantine.find_quarantine({culprit.fingerprint, {}}).has_value();
    }

    metrics_registry metrics;
    fake_server_connector connector;
    seeded_random random{seed};
    crash_quarantine quarantine;
    quarantine_archive archive;
};

class message_log final : public suspicion_channel {
public:
    void send_to_all(const std::string& message) override
    {
        this->messages.push_back(message);
    }

    void send_to_some(const std::string& /*message*/) override {}

    std::vector<std::string> messages;
};

class quarantine_archive_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(quarantine_archive_tests);
    CPPUNIT_TEST(a_gateway_that_starts_knows_the_quarantines);
    CPPUNIT_TEST(another_gateway_writes_what_the_first_could_not);
    CPPUNIT_TEST(a_quarantine_is_known_although_others_explain_its_first_ends);
    CPPUNIT_TEST(a_quarantine_that_another_gateway_removed_is_written_again);
    CPPUNIT_TEST(writes_again_when_the_store_is_back);
    CPPUNIT_TEST(writes_again_what_a_copy_lacks);
    CPPUNIT_TEST(a_released_request_is_not_kept);
    CPPUNIT_TEST(objects_of_others_that_cannot_be_read_are_left_out);
    CPPUNIT_TEST_SUITE_END();

public:
    void a_gateway_that_starts_knows_the_quarantines()
    {
        section("two servers end under a request", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway first(time, store);
            first.end_server("x");
            CPPUNIT_ASSERT(store.objects.empty());
            first.end_server("y");
            section("its quarantine is written at once", [&] {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.objects.size());
                store.deliver();
            });
            section("a gateway that starts refuses it as soon as it has read the store", [&] {
                archiving_gateway started_later(time, store);
                CPPUNIT_ASSERT(!started_later.archive.is_known());
                started_later.archive.on_listing(store.snapshot());
                CPPUNIT_ASSERT(started_later.archive.is_known());
                CPPUNIT_ASSERT(started_later.is_quarantined());
                section("and writes nothing", [&] {
                    time.advance(10s);
                    started_later.archive.check();
                    CPPUNIT_ASSERT_EQUAL(1, store.call_count);
                });
            });
            section("a list that is incomplete, and lacks it, takes nothing away", [&] {
                object_listing incomplete{0, store.revision + 1, true, {}};
                incomplete.is_incomplete = true;
                first.archive.on_listing(incomplete);
                time.advance(10s);
                first.archive.check();
                CPPUNIT_ASSERT(first.is_quarantined());
                CPPUNIT_ASSERT_EQUAL(1, store.call_count);
            });
            section("reading it again does not renew it", [&] {
                time.advance(9min);
                first.archive.on_listing(store.snapshot());
                time.advance(61s);
                CPPUNIT_ASSERT(!first.is_quarantined());
            });
            section("when its time has passed, one of the gateways removes it", [&] {
                first.quarantine.check();
                time.advance(10s);
                first.archive.check();
                store.deliver();
                CPPUNIT_ASSERT(store.objects.empty());
            });
        });
        section("an empty store is known, too", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway gateway(time, store);
            gateway.archive.on_listing(store.snapshot());
            CPPUNIT_ASSERT(gateway.archive.is_known());
        });
    }

    void another_gateway_writes_what_the_first_could_not()
    {
        section("a gateway tells the others of a quarantine and ends before the store has it", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway second(time, store);
            {
                message_log sent;
                store.is_available = false;
                archiving_gateway first(time, store);
                first.quarantine.set_channel(&sent);
                first.end_server("x");
                first.end_server("y");
                for (const auto& message : sent.messages) {
                    CPPUNIT_ASSERT(second.quarantine.receive(message));
                }
            }
            store.is_available = true;
            store.deliver(); // the result for a gateway that is gone
            second.archive.check();
            CPPUNIT_ASSERT(store.objects.empty());
            section("another one writes it after a while", [&] {
                time.advance(3s);
                second.archive.check();
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.objects.size());
            });
        });
        section("not if it has seen that in the store meanwhile", [] {
            manual_clock time;
            holding_store store;
            message_log sent;
            archiving_gateway first(time, store);
            archiving_gateway second(time, store);
            first.quarantine.set_channel(&sent);
            first.end_server("x");
            first.end_server("y");
            for (const auto& message : sent.messages) {
                CPPUNIT_ASSERT(second.quarantine.receive(message));
            }
            second.archive.on_listing(store.snapshot());
            time.advance(3s);
            second.archive.check();
            CPPUNIT_ASSERT_EQUAL(1, store.call_count);
        });
    }

    void a_quarantine_is_known_although_others_explain_its_first_ends()
    {
        section("a second request ends the servers of the first one and others", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway gateway(time, store);
            const auto end_under_both = [&](const std::string& id) {
                backend_server ended;
                ended.id = id;
                ended.address = {id, 1};
                gateway.quarantine.record_lost_connection(ended, {{other_content, {}}, {}});
                gateway.end_server(id);
            };
            for (const auto* const id : {"x", "y"}) {
                gateway.connector.ended.insert({id, 1});
                end_under_both(id);
                store.deliver();
            }
            for (const auto* const id : {"u", "v", "w"}) {
                backend_server ended;
                ended.id = id;
                ended.address = {id, 1};
                gateway.connector.ended.insert(ended.address);
                gateway.quarantine.record_lost_connection(ended, {{other_content, {}}, {}});
                store.deliver();
            }
            section("with a third server of its own, the first one is quarantined after a start, too", [&] {
                gateway.end_server("z");
                store.deliver();
                for (int round = 0; round < 10; ++round) {
                    time.advance(1s);
                    gateway.archive.check();
                    store.deliver();
                }
                CPPUNIT_ASSERT(gateway.is_quarantined());
                archiving_gateway started_later(time, store);
                started_later.archive.on_listing(store.snapshot());
                CPPUNIT_ASSERT(started_later.is_quarantined());
            });
        });
    }

    void a_quarantine_that_another_gateway_removed_is_written_again()
    {
        section("a gateway that knows less removes the object", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway gateway(time, store);
            gateway.end_server("x");
            gateway.end_server("y");
            store.deliver();
            auto removed = store.objects.begin()->second;
            removed.deleted = true;
            store.objects.clear();
            gateway.archive.on_listing({store.revision, store.revision + 1, false, {removed}});
            section("the one that still refuses the request writes it after a while", [&] {
                gateway.archive.check();
                CPPUNIT_ASSERT(store.objects.empty());
                time.advance(3s);
                gateway.archive.check();
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.objects.size());
            });
        });
    }

    void writes_again_when_the_store_is_back()
    {
        section("the store is away when a request is quarantined", [] {
            manual_clock time;
            holding_store store;
            store.is_available = false;
            archiving_gateway gateway(time, store);
            gateway.end_server("x");
            gateway.end_server("y");
            store.deliver();
            gateway.archive.check();
            CPPUNIT_ASSERT_EQUAL(1, store.call_count);
            section("it is written once the store answers", [&] {
                store.is_available = true;
                time.advance(1s);
                gateway.archive.check();
                store.deliver();
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.objects.size());
                time.advance(10s);
                gateway.archive.check();
                CPPUNIT_ASSERT_EQUAL(2, store.call_count);
            });
        });
    }

    void writes_again_what_a_copy_lacks()
    {
        section("a quarantine is in the store, which comes back from a copy without it", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway gateway(time, store);
            gateway.archive.on_listing(store.snapshot());
            gateway.end_server("x");
            gateway.end_server("y");
            store.deliver();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.objects.size());
            store.objects.clear();
            store.revision = fencing_token(1, 0);
            gateway.archive.on_listing(store.snapshot());
            section("it is still refused, and written again after a while", [&] {
                CPPUNIT_ASSERT(gateway.is_quarantined());
                CPPUNIT_ASSERT_EQUAL(fencing_token(1, 0), gateway.archive.known_revision());
                gateway.archive.check();
                time.advance(3s);
                gateway.archive.check();
                store.deliver();
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, store.objects.size());
            });
        });
    }

    void a_released_request_is_not_kept()
    {
        section("a server completes a copy while the quarantine is being written", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway gateway(time, store);
            gateway.end_server("x");
            gateway.end_server("y");
            gateway.quarantine.record_completion({{culprit.fingerprint, {}}, {}}, true);
            CPPUNIT_ASSERT(!gateway.is_quarantined());
            CPPUNIT_ASSERT_EQUAL(1, store.call_count);
            section("it is removed after the first write has its result", [&] {
                store.deliver();
                gateway.archive.check();
                store.deliver();
                CPPUNIT_ASSERT(store.objects.empty());
            });
        });
    }

    void objects_of_others_that_cannot_be_read_are_left_out()
    {
        section("a suspicion is decoded as it was encoded, with the ends that count", [] {
            const auto now = time_point{} + 10s;
            server_end counted{7, true, now - 2s, now - 3s};
            auto excused = counted;
            excused.server = 8;
            excused.is_excused = true;
            const crash_suspicion suspicion{culprit, {counted, excused}, 70ms};
            const auto text = encode_stored_suspicion(suspicion, now);
            CPPUNIT_ASSERT(*decode_stored_suspicion(text, now) ==
                           (crash_suspicion{culprit, {counted}, 70ms}));
            section("with a part missing it is not decoded", [&] {
                for (std::size_t length = 0; length < text.size(); ++length) {
                    CPPUNIT_ASSERT(!decode_stored_suspicion(text.substr(0, length), now));
                }
                for (const auto* const other :
                     {"[]",
                      "7",
                      "{}",
                      R"({"fingerprint":7,"specificity":1,"age_ms":1,"ends":[]})",
                      R"({"fingerprint":"7","specificity":-1,"age_ms":1,"ends":[]})",
                      R"({"fingerprint":"7","specificity":1,"age_ms":1,"ends":{}})",
                      R"({"fingerprint":"7","specificity":1,"age_ms":1,"ends":[7]})",
                      R"({"fingerprint":"7 ","specificity":1,"age_ms":1,"ends":[]})"}) {
                    CPPUNIT_ASSERT(!decode_stored_suspicion(other, now));
                }
            });
        });
        section("the others on the page count", [] {
            manual_clock time;
            holding_store store;
            archiving_gateway writer(time, store);
            writer.end_server("x");
            writer.end_server("y");
            store.objects["quarantines/a"] = {"quarantines/a", 1, false, "?"};
            archiving_gateway reader(time, store);
            reader.archive.on_listing(store.snapshot());
            CPPUNIT_ASSERT(reader.archive.is_known());
            CPPUNIT_ASSERT(reader.is_quarantined());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_archive_tests);

} // namespace

} // namespace tanager
