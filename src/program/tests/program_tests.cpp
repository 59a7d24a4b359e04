#include "program/program_runner.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <unistd.h>

namespace tanager {

namespace {

using testing::section;

// Stops at once, and counts how often it was asked to.
class quick_service final : public server_process {
public:
    void stop(task drained) override
    {
        ++this->stops;
        drained();
    }

    std::vector<std::string> reload(settings_reader& /*reader*/) override
    {
        return {};
    }

    int stops = 0;
};

class program_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(program_tests);
    CPPUNIT_TEST(keeps_a_signal_that_comes_while_it_starts);
    CPPUNIT_TEST_SUITE_END();

public:
    // A rolling restart asks a process to stop that has taken its address and not begun to serve.
    void keeps_a_signal_that_comes_while_it_starts()
    {
        section("a program is asked to stop before it serves", [] {
            hold_signals();
            kill(getpid(), SIGTERM);
            const auto loop = std::move(*event_loop::create());
            quick_service running;
            section("and stops gracefully as soon as it does", [&] {
                CPPUNIT_ASSERT(serve_until_stopped(*loop, running, "/nonexistent") == exit_code::success);
                CPPUNIT_ASSERT_EQUAL(1, running.stops);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(program_tests);

} // namespace

} // namespace tanager
