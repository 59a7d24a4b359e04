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

class descriptor_exhaustion_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(descriptor_exhaustion_tests);
    CPPUNIT_TEST(crashes_without_a_descriptor_for_a_call);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashes_without_a_descriptor_for_a_call()
    {
        const auto loop = std::move(*event_loop::create());
        const auto client = http_client::create(*loop);
        constexpr rlim_t few_descriptors = 128;
        rlimit bound{};
        getrlimit(RLIMIT_NOFILE, &bound);
        bound.rlim_cur = few_descriptors;
        setrlimit(RLIMIT_NOFILE, &bound);
        std::vector<int> taken;
        for (int copy = dup(0); copy >= 0; copy = dup(0)) {
            taken.push_back(copy);
        }
        section("a call is started when no descriptor is left", [&] {
            std::optional<tl::expected<http_response, http_failure>> outcome;
            const auto call = client->fetch(
                {"127.0.0.1", 9}, {"GET", "/", {}, {}}, {}, [&](const auto& reply) { outcome = reply; });
            section("its failure is told after it has been returned", [&] {
                CPPUNIT_ASSERT(!outcome.has_value());
                while (!outcome) {
                    loop->run_once();
                }
                CPPUNIT_ASSERT(!outcome->has_value());
                CPPUNIT_ASSERT(call_progress::not_sent == outcome->error().progress);
            });
        });
        for (const int copy : taken) {
            close(copy);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(descriptor_exhaustion_tests);

} // namespace

} // namespace tanager
