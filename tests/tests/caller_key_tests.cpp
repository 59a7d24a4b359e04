// Callers' keys at gateways that are real processes: known, unknown, taken away, and uncertain.
#include "base/text.h"
#include "testing/section.h"
#include "tests/support/gateway_group.h"

#include <chrono>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace tanager::testing {

namespace {

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr int status_unauthorized = 401;
constexpr int status_unavailable = 503;

// Two gateways whose callers need keys, except for lookups.
class key_fixture {
public:
    explicit key_fixture(const std::string& settings)
        : group(2, {"--timeout-ms", "5000"}, "[organisations]\n" + settings)
    {
        this->group.wait_until_serving(2);
        this->configure(2, {"k1", "k2"});
    }

    // Puts a configuration with the organisation `bank` in force, and waits for it.
    void configure(int version, const std::vector<std::string>& keys)
    {
        this->group.apply_configuration(version, [&](nlohmann::json& spec) {
            spec["tenants"] = {{{"name", "bank"}, {"apiKeys", keys}, {"priority", 1}}};
            spec["routes"][1]["public"] = true;
        });
        this->group.wait_for_configuration(version);
    }

    http_response
    fetch(const std::string& host, const std::string& path, const std::string& credentials = "Token k1")
    {
        return this->group.caller.fetch(this->group.members.at(host).address,
                                        this->make_request(path, credentials));
    }

    // Fetches a stream that may be broken off.
    void fetch_stream(const std::string& host)
    {
        const auto result =
            this->group.caller.start(this->group.members.at(host).address,
                                     this->make_request("/stream/1?events=20&event_ms=1", "Token k1"));
        this->group.caller.run_until([&] { return result->is_finished(); });
    }

    http_request make_request(const std::string& path, const std::string& credentials)
    {
        http_request request{"POST",
                             path,
                             {{"Host", "shop.example"},
                              {"Attempt-Id", "r" + std::to_string(++this->last_request_number)},
                              {"Tenant", "claimed"},
                              {"Deadline-Ms", "5000"}},
                             "x"};
        if (!credentials.empty()) {
            request.headers.push_back({"Authorization", credentials});
        }
        return request;
    }

    void set_fault(const std::string& address, const std::string& fault)
    {
        this->group.caller.post(address, "/faults?" + fault);
    }

    // Returns the credentials and the organisation that servers were told at each run of the last request.
    std::vector<std::string> callers_of_last_request()
    {
        std::vector<std::string> callers;
        for (const auto& address : this->servers()) {
            const auto all = nlohmann::json::parse(this->group.caller.get(address, "/callers").body);
            const auto found = all.find("r" + std::to_string(this->last_request_number));
            if (found != all.end()) {
                callers.insert(callers.end(), found->begin(), found->end());
            }
        }
        return callers;
    }

    std::vector<std::string> servers()
    {
        return split_list(this->group.standin_site.address("servers"));
    }

    gateway_group group;
    std::uint64_t last_request_number = 0;
};

class caller_key_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_key_tests);
    CPPUNIT_TEST(servers_learn_organisations_and_no_keys);
    CPPUNIT_TEST(fails_closed_after_a_return_from_a_copy);
    CPPUNIT_TEST(fails_closed_while_the_store_is_away);
    CPPUNIT_TEST_SUITE_END();

public:
    void servers_learn_organisations_and_no_keys()
    {
        key_fixture fixture("");
        using callers = std::vector<std::string>;
        section("a caller with a key is served, and the server is told its organisation only", [&] {
            CPPUNIT_ASSERT_EQUAL(status_ok, fixture.fetch("g0", "/order/1").status);
            CPPUNIT_ASSERT(fixture.callers_of_last_request() == callers{"|bank"});
        });
        section("so is the server that continues a broken stream", [&] {
            callers seen;
            while (seen.size() <
                   2) { // until a retry is allowed, and a stream begins at the server that breaks it off
                fixture.set_fault(fixture.servers()[0], "cut=1");
                fixture.fetch_stream("g0");
                seen = fixture.callers_of_last_request();
            }
            fixture.set_fault(fixture.servers()[0], "cut=0");
            CPPUNIT_ASSERT(seen == callers({"|bank", "|bank"}));
        });
        section("callers without a known key are rejected, and their requests do not run", [&] {
            for (const auto* const credentials : {"", "Token k3", "Token", "Bearer k1", "k1", "Token \xff"}) {
                CPPUNIT_ASSERT_EQUAL(status_unauthorized,
                                     fixture.fetch("g0", "/order/1", credentials).status);
                CPPUNIT_ASSERT(fixture.callers_of_last_request().empty());
            }
        });
        section("lookups need no key, and pass none on", [&] {
            CPPUNIT_ASSERT_EQUAL(status_ok, fixture.fetch("g0", "/read/1", "").status);
            CPPUNIT_ASSERT(fixture.callers_of_last_request() == callers{"|"});
            CPPUNIT_ASSERT_EQUAL(status_ok, fixture.fetch("g0", "/read/1", "Token k3").status);
            CPPUNIT_ASSERT(fixture.callers_of_last_request() == callers{"|"});
        });
        section("a key is taken away: no gateway admits it, and the other one still works", [&] {
            fixture.configure(3, {"k2"});
            for (const auto* const host : {"g0", "g1"}) {
                CPPUNIT_ASSERT_EQUAL(status_unauthorized, fixture.fetch(host, "/order/1").status);
                CPPUNIT_ASSERT_EQUAL(status_ok, fixture.fetch(host, "/order/1", "Token k2").status);
            }
        });
    }

    void fails_closed_after_a_return_from_a_copy()
    {
        constexpr auto rewrite_grace = 3s;
        key_fixture fixture("fail_closed = true\nrevocation_ms = 2000\n");
        section("a key is taken away, and the store comes back from a copy that has it", [&] {
            const auto copied_at = std::chrono::steady_clock::now();
            std::this_thread::sleep_for(100ms);
            fixture.configure(3, {"k2"});
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - copied_at);
            const auto restored_at = std::chrono::steady_clock::now();
            fixture.set_fault(fixture.group.store_address, "restore_ms=" + std::to_string(age.count()));
            section("keys become uncertain, and are admitted again after the operator's time to write", [&] {
                for (const auto* const host : {"g0", "g1"}) {
                    while (fixture.fetch(host, "/order/1", "Token k2").status != status_unavailable) {
                        CPPUNIT_ASSERT(fixture.fetch(host, "/order/1").status != status_ok);
                    }
                }
                for (const auto* const host : {"g0", "g1"}) {
                    while (fixture.fetch(host, "/order/1", "Token k2").status != status_ok) {
                        CPPUNIT_ASSERT(fixture.fetch(host, "/order/1").status != status_ok);
                    }
                    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - restored_at > rewrite_grace);
                }
            });
            section("the key stays away", [&] {
                CPPUNIT_ASSERT_EQUAL(status_unauthorized, fixture.fetch("g0", "/order/1").status);
            });
        });
    }

    void fails_closed_while_the_store_is_away()
    {
        constexpr auto revocation = 2'000ms;
        key_fixture fixture("fail_closed = true\nrevocation_ms = 2000\n");
        const auto is_admitted = [&](const std::string& host) {
            const auto response = fixture.fetch(host, "/order/1");
            if (response.status == status_ok) {
                return true;
            }
            CPPUNIT_ASSERT_EQUAL(status_unavailable, response.status);
            CPPUNIT_ASSERT(!find_header(response.headers, "Retry-After").empty());
            CPPUNIT_ASSERT(fixture.callers_of_last_request().empty());
            return false;
        };
        for (const auto* const fault : {"outage", "silent"}) {
            section(std::string{"the store is away: "} + fault, [&] {
                fixture.set_fault(fixture.group.store_address, std::string{fault} + "=1");
                const auto away_since = std::chrono::steady_clock::now();
                std::map<std::string, std::chrono::steady_clock::duration> admitted_for;
                while (std::chrono::steady_clock::now() - away_since < revocation + 500ms) {
                    for (const auto* const host : {"g0", "g1"}) {
                        const auto asked_at = std::chrono::steady_clock::now();
                        if (is_admitted(host)) {
                            admitted_for[host] = asked_at - away_since;
                        }
                    }
                }
                section("keys have no effect beyond the revocation time, and have some until then", [&] {
                    for (const auto* const host : {"g0", "g1"}) {
                        CPPUNIT_ASSERT(admitted_for[host] < revocation);
                        CPPUNIT_ASSERT(admitted_for[host] > revocation / 4);
                    }
                });
                section("lookups go on",
                        [&] { CPPUNIT_ASSERT_EQUAL(status_ok, fixture.fetch("g0", "/read/1").status); });
                section("unknown keys are not called unknown", [&] {
                    CPPUNIT_ASSERT_EQUAL(status_unavailable,
                                         fixture.fetch("g0", "/order/1", "Token k3").status);
                });
                section("the store is back: callers are admitted again", [&] {
                    fixture.set_fault(fixture.group.store_address, std::string{fault} + "=0");
                    for (const auto* const host : {"g0", "g1"}) {
                        while (!is_admitted(host)) {
                        }
                    }
                });
            });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_key_tests);

} // namespace

} // namespace tanager::testing
