#include "net/http_client.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <optional>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace tanager {

namespace {

using testing::section;

// Guards against a crash when a call starts while the process has no free descriptor: evhttp may then report
// the failure before evhttp_make_request returns.
class descriptor_exhaustion_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(descriptor_exhaustion_tests);
    CPPUNIT_TEST(reports_failure_when_no_descriptor_is_left);
    CPPUNIT_TEST_SUITE_END();

public:
    void reports_failure_when_no_descriptor_is_left()
    {
        const auto loop = std::move(*event_loop::create());
        const auto client = http_client::create(*loop);
        constexpr rlim_t max_descriptors = 128;
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = max_descriptors;
        setrlimit(RLIMIT_NOFILE, &limit);
        std::vector<int> duplicates;
        for (int duplicate = dup(0); duplicate >= 0; duplicate = dup(0)) {
            duplicates.push_back(duplicate);
        }
        section("a call is started when no descriptor is left", [&] {
            std::optional<tl::expected<http_response, http_failure>> outcome;
            const auto call =
                client->fetch({"127.0.0.1", 9}, {"GET", "/", {}, {}}, {}, [&](const auto& response) {
                    outcome = response;
                });
            section("the failure is reported after the call has been returned", [&] {
                CPPUNIT_ASSERT(!outcome.has_value());
                while (!outcome) {
                    loop->run_once();
                }
                CPPUNIT_ASSERT(!outcome->has_value());
                CPPUNIT_ASSERT(call_progress::not_sent == outcome->error().progress);
            });
        });
        for (const int duplicate : duplicates) {
            close(duplicate);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(descriptor_exhaustion_tests);

} // namespace

} // namespace tanager
