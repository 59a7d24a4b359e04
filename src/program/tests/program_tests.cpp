#include "program/program_runner.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <unistd.h>

namespace tanager {

namespace {

using testing::section;

// Drains at once and counts the calls of stop().
class fake_server_process final : public server_process {
public:
    void stop(task drained) override
    {
        ++this->stop_calls;
        drained();
    }

    std::vector<std::string> reload(settings_reader& /*reader*/) override
    {
        return {};
    }

    int stop_calls = 0;
};

class program_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(program_tests);
    CPPUNIT_TEST(handles_a_signal_received_during_start);
    CPPUNIT_TEST_SUITE_END();

public:
    // A rolling restart can send SIGTERM to a process that has bound its address but does not serve yet. The
    // signal's default action would end it without a graceful stop.
    void handles_a_signal_received_during_start()
    {
        section("SIGTERM arrives before the program serves", [] {
            block_signals();
            kill(getpid(), SIGTERM);
            const auto loop = std::move(*event_loop::create());
            fake_server_process process;
            section("the program stops gracefully as soon as it serves", [&] {
                CPPUNIT_ASSERT(serve_until_stopped(*loop, process, "/nonexistent") == exit_code::success);
                CPPUNIT_ASSERT_EQUAL(1, process.stop_calls);
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(program_tests);

} // namespace

} // namespace tanager
