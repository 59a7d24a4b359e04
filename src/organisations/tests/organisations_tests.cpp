#include "organisations/caller_gate.h"
#include "organisations/organisation_directory.h"
#include "organisations/organisation_metrics.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using namespace std::chrono_literals;
using testing::section;

constexpr std::size_t digest_length = 64;

organisation make_organisation(const std::string& name, const std::vector<std::string>& keys)
{
    organisation made{name, {}, {}};
    for (const auto& key : keys) {
        made.key_digests.push_back(digest_of_key(key));
    }
    return made;
}

std::string name_of_holder(const organisation_directory& directory, std::string_view key)
{
    const auto* const found = directory.find_by_key(key);
    return found == nullptr ? "-" : found->name;
}

result_code code_of(const result<caller_identity>& caller)
{
    return caller ? result_code::ok : caller.error().code;
}

class organisations_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(organisations_tests);
    CPPUNIT_TEST(finds_the_holder_of_a_key);
    CPPUNIT_TEST(settles_contradictions_alike_everywhere);
    CPPUNIT_TEST(serves_hundreds_of_organisations);
    CPPUNIT_TEST(identifies_callers);
    CPPUNIT_TEST(fails_closed);
    CPPUNIT_TEST(bounds_its_metrics);
    CPPUNIT_TEST(refuses_no_longer_than_it_must);
    CPPUNIT_TEST_SUITE_END();

public:
    void finds_the_holder_of_a_key()
    {
        section("two organisations have keys, and a third has none", [] {
            const auto directory = organisation_directory::create({{make_organisation("bank", {"k1", "k2"}),
                                                                    make_organisation("shop", {"k3"}),
                                                                    make_organisation("empty", {})},
                                                                   {}});
            section("each key belongs to its organisation", [&] {
                CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k1"));
                CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k2"));
                CPPUNIT_ASSERT_EQUAL(std::string{"shop"}, name_of_holder(*directory, "k3"));
            });
            section("keys that differ in case, or by a prefix, are unknown", [&] {
                for (const auto* const key : {"", "K1", "k", "k11", " k1", "k1 "}) {
                    CPPUNIT_ASSERT_EQUAL(std::string{"-"}, name_of_holder(*directory, key));
                }
            });
            section("no key itself is kept", [&] {
                for (const auto& entry : directory->organisations()) {
                    for (const auto& digest : entry.key_digests) {
                        CPPUNIT_ASSERT_EQUAL(digest_length, digest.size());
                    }
                }
            });
        });
        section("keys of strange bytes and lengths are as good as others", [] {
            const std::string bytes{"\0\xff\r\n\"", 5};
            const std::string huge(100'000, 'x');
            const auto directory =
                organisation_directory::create({{make_organisation("odd", {bytes, huge})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"odd"}, name_of_holder(*directory, bytes));
            CPPUNIT_ASSERT_EQUAL(std::string{"odd"}, name_of_holder(*directory, huge));
            CPPUNIT_ASSERT_EQUAL(std::string{"-"}, name_of_holder(*directory, huge + "x"));
        });
        section("a key moves between organisations: the next configuration has its new holder", [] {
            const auto before = organisation_directory::create(
                {{make_organisation("bank", {"k1"}), make_organisation("shop", {})}, {}});
            const auto after = organisation_directory::create(
                {{make_organisation("bank", {}), make_organisation("shop", {"k1"})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*before, "k1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"shop"}, name_of_holder(*after, "k1"));
        });
    }

    void settles_contradictions_alike_everywhere()
    {
        section("two organisations list one key: the first holds it, and a problem names both", [] {
            const auto directory = organisation_directory::create(
                {{make_organisation("bank", {"k1"}), make_organisation("shop", {"k1", "k2"})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"shop"}, name_of_holder(*directory, "k2"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory->problems().size());
            CPPUNIT_ASSERT(!directory->is_complete());
        });
        section("an organisation lists a key twice, which is no problem", [] {
            const auto directory =
                organisation_directory::create({{make_organisation("bank", {"k1", "k1"})}, {}});
            CPPUNIT_ASSERT(directory->is_complete());
        });
        section("the second of two entries with one name is passed over", [] {
            const auto directory = organisation_directory::create(
                {{make_organisation("bank", {"k1"}), make_organisation("bank", {"k2"})}, {}});
            CPPUNIT_ASSERT_EQUAL(std::string{"bank"}, name_of_holder(*directory, "k1"));
            CPPUNIT_ASSERT_EQUAL(std::string{"-"}, name_of_holder(*directory, "k2"));
            CPPUNIT_ASSERT(!directory->is_complete());
        });
    }

    void serves_hundreds_of_organisations()
    {
        section("490 organisations have three keys each", [] {
            constexpr int count = 490;
            organisation_list list;
            for (int index = 0; index < count; ++index) {
                const auto name = "o" + std::to_string(index);
                list.organisations.push_back(make_organisation(name, {name + "a", name + "b", name + "c"}));
            }
            const auto directory = organisation_directory::create(std::move(list));
            for (int index = 0; index < count; ++index) {
                const auto name = "o" + std::to_string(index);
                for (const auto* const suffix : {"a", "b", "c"}) {
                    CPPUNIT_ASSERT_EQUAL(name, name_of_holder(*directory, name + suffix));
                }
            }
        });
    }

    void identifies_callers()
    {
        auto bank = make_organisation("bank", {"k1"});
        bank.priority = 1;
        const auto directory = organisation_directory::create({{bank}, {}});
        const caller_gate gate({true, 5s});
        const time_point now{1h};
        section("a caller with a known key belongs to its organisation, and has its priority", [&] {
            CPPUNIT_ASSERT(gate.identify(*directory, {"k1", true, now}, now) == caller_identity({"bank", 1}));
        });
        section("a caller with another key, or with none, is unknown", [&] {
            for (const auto* const key : {"k2", ""}) {
                CPPUNIT_ASSERT(code_of(gate.identify(*directory, {key, true, now}, now)) ==
                               result_code::caller_unknown);
            }
        });
        section("a request that needs no key is admitted with any, and belongs to a known caller", [&] {
            const auto identify = [&](std::string_view key) {
                return gate.identify(*directory, {key, false, now}, now);
            };
            CPPUNIT_ASSERT(identify("") == caller_identity{});
            CPPUNIT_ASSERT(identify("k2") == caller_identity{});
            CPPUNIT_ASSERT(identify("k1") == caller_identity({"bank", 1}));
        });
        section("an entry was passed over: an unknown key may be one of its keys", [&] {
            const auto incomplete = organisation_directory::create({{bank}, {"entry 1 has no usable name"}});
            CPPUNIT_ASSERT(gate.identify(*incomplete, {"k1", true, now}, now) ==
                           caller_identity({"bank", 1}));
            CPPUNIT_ASSERT(code_of(gate.identify(*incomplete, {"k2", true, now}, now)) ==
                           result_code::configuration_outdated);
            CPPUNIT_ASSERT(code_of(gate.identify(*incomplete, {"", true, now}, now)) ==
                           result_code::caller_unknown);
        });
    }

    void fails_closed()
    {
        const auto directory = organisation_directory::create({{make_organisation("bank", {"k1"})}, {}});
        const time_point now{1h};
        const std::vector<std::optional<time_point>> too_old{std::nullopt, now - 4'800ms, now - 20s};
        const auto check = [&](bool fail_closed, const caller_claim& claim, std::optional<time_point> as_of) {
            return code_of(caller_gate({fail_closed, 5s}).identify(*directory, claim, as_of));
        };
        section("a configuration that is younger than the revocation time vouches for keys", [&] {
            CPPUNIT_ASSERT(check(true, {"k1", true, now}, now - 4'700ms) == result_code::ok);
            CPPUNIT_ASSERT(check(true, {"k2", true, now}, now - 4'700ms) == result_code::caller_unknown);
        });
        section("an older one vouches for none, known or not, and says so", [&] {
            for (const auto& as_of : too_old) {
                for (const auto* const key : {"k1", "k2", ""}) {
                    CPPUNIT_ASSERT(check(true, {key, true, now}, as_of) ==
                                   result_code::configuration_outdated);
                }
            }
        });
        section("requests that need no key go on, as those of nobody", [&] {
            for (const auto& as_of : too_old) {
                const auto caller = caller_gate({true, 5s}).identify(*directory, {"k1", false, now}, as_of);
                CPPUNIT_ASSERT(caller == caller_identity{});
            }
        });
        section("a request received while it was young may run later", [&] {
            CPPUNIT_ASSERT(check(true, {"k1", true, now - 4s}, now - 8s) == result_code::ok);
        });
        section("without failing closed, known keys are good, and unknown ones are not certain", [&] {
            for (const auto& as_of : too_old) {
                CPPUNIT_ASSERT(check(false, {"k1", true, now}, as_of) == result_code::ok);
                CPPUNIT_ASSERT(check(false, {"k2", true, now}, as_of) == result_code::configuration_outdated);
            }
        });
        section("changes are asked for often enough that most of the time is left when the store goes", [&] {
            const auto wait = caller_gate({true, 5s}).max_watch_wait();
            CPPUNIT_ASSERT(2 * wait + 0.6 * 5s <= 5s);
        });
    }

    void bounds_its_metrics()
    {
        section("490 organisations send requests, on many routes", [] {
            metrics_registry metrics;
            organisation_metrics counted(metrics);
            for (int index = 0; index < 490; ++index) {
                counted.record(
                    "o" + std::to_string(index), "r" + std::to_string(index), request_result::served);
            }
            const auto count = [&](const std::string& organisation, const std::string& route) {
                return metrics.counter_value("tanager_organisation_requests_total",
                                             "organisation=\"" + organisation + "\",route=\"" + route +
                                                 R"(",outcome="served")");
            };
            section("the first are counted by name, and the rest together", [&] {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count("o0", "r0"));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count("o99", "other"));
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{390}, count("other", "other"));
            });
        });
    }

    // Load pattern: the store is away for all gateways at once, for longer than the revocation time, while
    // callers keep sending; keys are taken away unseen right after it has gone.
    void refuses_no_longer_than_it_must()
    {
        section("the store is away for nine seconds, and a key is taken away just after it has gone", [] {
            const auto directory = organisation_directory::create({{make_organisation("bank", {"k1"})}, {}});
            const auto after = organisation_directory::create({{make_organisation("bank", {})}, {}});
            const caller_gate gate({true, 5s});
            const time_point gone{1h};
            const auto last_asked = gone - gate.max_watch_wait();
            const auto back = gone + 9s;
            int admitted_while_away = 0;
            for (auto now = gone; now < back; now += 10ms) {
                const auto caller = gate.identify(*directory, {"k1", true, now}, last_asked);
                admitted_while_away += caller ? 1 : 0;
                section("a request with the key is never admitted beyond the revocation time",
                        [&] { CPPUNIT_ASSERT(!caller || now < gone + 5s); });
            }
            section("callers are admitted for three fifths of it at least",
                    [&] { CPPUNIT_ASSERT(admitted_while_away >= 300); });
            section("the first answer settles each key", [&] {
                CPPUNIT_ASSERT(code_of(gate.identify(*after, {"k1", true, back}, back)) ==
                               result_code::caller_unknown);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(organisations_tests);

} // namespace

} // namespace tanager
