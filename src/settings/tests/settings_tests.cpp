#include "settings/settings_reader.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

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

    void missing_file_is_reported()
    {
        const auto reader = settings_reader::open("no-such-file.ini");
        CPPUNIT_ASSERT(!reader.has_value());
        CPPUNIT_ASSERT(reader.error().code == result_code::settings_unreadable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_tests);

} // namespace tanager
