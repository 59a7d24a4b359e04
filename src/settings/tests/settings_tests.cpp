#include "settings/settings_reader.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <tuple>

using namespace std::chrono_literals;
using tanager::testing::section;

namespace tanager {

namespace {

bool has_problem(const std::vector<settings_problem>& problems, const std::string& part)
{
    return std::ranges::any_of(
        problems, [&](const auto& problem) { return to_text(problem).find(part) != std::string::npos; });
}

} // namespace

class settings_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_tests);
    CPPUNIT_TEST(valid_file_is_read);
    CPPUNIT_TEST(ten_problems_are_reported_at_once);
    CPPUNIT_TEST(missing_file_is_reported);
    CPPUNIT_TEST(decimals_are_validated);
    CPPUNIT_TEST(times_may_have_fractions);
    CPPUNIT_TEST(problems_without_a_default_are_fatal);
    CPPUNIT_TEST_SUITE_END();

public:
    void valid_file_is_read()
    {
        auto reader = settings_reader::parse("good.ini", "[http]\nlisten = 127.0.0.1:80\nseconds = 5\n");
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:80"}, reader.read_address({"http", "listen"}, ""));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, reader.read_integer({"http", "seconds"}, 1, {1, 9}));
        CPPUNIT_ASSERT(reader.read_flag({"http", "quiet"}, true));
        CPPUNIT_ASSERT(reader.problems().empty());
    }

    void ten_problems_are_reported_at_once()
    {
        const std::string text = "[http]\n"
                                 "listen = nowhere\n"
                                 "sconds = 5\n"
                                 "limit = many\n"
                                 "bound = 900\n"
                                 "quiet = perhaps\n"
                                 "mode = odd\n"
                                 "mode = odd\n"
                                 "[htpp]\n"
                                 "listen = 1\n"
                                 "[zzz]\n"
                                 "k = v\n";
        auto reader = settings_reader::parse("bad.ini", text);
        reader.read_address({"http", "listen"}, "");
        reader.read_integer({"http", "seconds"}, 1, {1, 9});
        reader.read_integer({"http", "limit"}, 1, {1, 9});
        reader.read_integer({"http", "bound"}, 1, {1, 9});
        reader.read_flag({"http", "quiet"}, true);
        reader.read_choice({"http", "mode"}, "even", {"even", "uneven"});
        reader.read_required_text({"http", "name"});
        const auto problems = reader.problems();
        section("each problem has file, section, key and reason", [&] {
            CPPUNIT_ASSERT(has_problem(problems, "bad.ini: [http] listen: 'nowhere' is not ip:port"));
            CPPUNIT_ASSERT(has_problem(problems, "[http] limit: 'many' is not a whole number"));
            CPPUNIT_ASSERT(has_problem(problems, "[http] bound: 900 is outside 1 to 9"));
            CPPUNIT_ASSERT(has_problem(problems, "[http] quiet: 'perhaps' is none of: true, false"));
            CPPUNIT_ASSERT(has_problem(problems, "[http] mode: is given twice"));
            CPPUNIT_ASSERT(has_problem(problems, "[http] name: is required"));
        });
        section("unknown keys and sections are reported with the nearest known name", [&] {
            CPPUNIT_ASSERT(has_problem(problems, "[http] sconds: unknown key; did you mean 'seconds'?"));
            CPPUNIT_ASSERT(has_problem(problems, "[htpp] listen: unknown section; did you mean [http]?"));
            CPPUNIT_ASSERT(has_problem(problems, "[zzz] k: unknown section"));
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, problems.size());
    }

    void decimals_are_validated()
    {
        constexpr double max = 1'000;
        const auto read = [&](const std::string& value) {
            auto reader = settings_reader::parse("f", "[s]\nk = " + value + "\n");
            const double number = reader.read_decimal({"s", "k"}, -1, max);
            return reader.problems().empty() ? number : -1;
        };
        for (const auto* const valid : {"10", "10.0", "1e1"}) {
            CPPUNIT_ASSERT_EQUAL(10.0, read(valid));
        }
        for (const auto* const invalid : {"ten", "10 megabits", "-1", "1000.1", "nan"}) {
            CPPUNIT_ASSERT_EQUAL(-1.0, read(invalid));
        }
    }

    void times_may_have_fractions()
    {
        const auto read = [](const std::string& value) {
            auto reader = settings_reader::parse("f", "[s]\nms = " + value + "\ns = " + value + "\n");
            const auto milliseconds = reader.read_milliseconds({"s", "ms"}, 7ms, {0, 600'000});
            const auto seconds = reader.read_seconds({"s", "s"}, 9ms, 600s);
            return std::tuple{milliseconds, seconds, reader.problems().size()};
        };
        CPPUNIT_ASSERT(read("8") == std::tuple(8ms, 8'000ms, 0U));
        CPPUNIT_ASSERT(read("8.5") == std::tuple(9ms, 8'500ms, 0U));
        CPPUNIT_ASSERT(read("2500.5") == std::tuple(2'501ms, 9ms, 1U));
        CPPUNIT_ASSERT(read("") == std::tuple(7ms, 9ms, 0U));
        for (const auto* const invalid : {"8s", "-1", "nan", "inf", "1e9", "true"}) {
            CPPUNIT_ASSERT(read(invalid) == std::tuple(7ms, 9ms, 2U));
        }
    }

    void problems_without_a_default_are_fatal()
    {
        auto reader = settings_reader::parse(
            "f", "[s]\nnumber = x\nempty =\nfar = far\nfallback = far\n\nunknown = 1\n");
        reader.read_integer({"s", "number"}, 1, {0, 9});
        reader.read_integer({"s", "empty"}, 1, {0, 9});
        reader.read_address({"s", "fallback"}, "127.0.0.1:1");
        const auto count_fatal = [&] {
            return std::ranges::count_if(reader.problems(), &settings_problem::is_fatal);
        };
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, count_fatal());
        reader.read_address({"s", "far"}, "");
        reader.read_required_text({"s", "empty"});
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, count_fatal());
    }

    void missing_file_is_reported()
    {
        const auto reader = settings_reader::open("no-such-file.ini");
        CPPUNIT_ASSERT(!reader.has_value());
        CPPUNIT_ASSERT(reader.error().code == result_code::settings_unreadable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_tests);

} // namespace tanager
