// Guards against a text of others that ends its log line, hides the fields behind it, or cannot be read.
#include "logging/internal/event_line.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using testing::section;

constexpr int byte_count = 256;

std::string line_of(const std::string& name)
{
    return format_line(log_event::server_entry_invalid, {{"server", name}, {"detail", "why"}});
}

class logging_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(logging_tests);
    CPPUNIT_TEST(keeps_a_line_readable);
    CPPUNIT_TEST(leaves_room_for_the_fields_behind_a_long_value);
    CPPUNIT_TEST_SUITE_END();

public:
    void keeps_a_line_readable()
    {
        section("a value without special characters stands as it is", [] {
            CPPUNIT_ASSERT_EQUAL(std::string{"2012 server_entry_invalid server=servers/i-7 detail=why"},
                                 line_of("servers/i-7"));
        });
        section("a value is quoted, and its other bytes are written by their numbers", [] {
            CPPUNIT_ASSERT_EQUAL(
                std::string{R"(2012 server_entry_invalid server="a \"b\\\x0a\xff\x00" detail=why)"},
                line_of(std::string{"a \"b\\\n\xFF\0", 8}));
        });
        section("a value holds any byte", [] {
            for (int byte = 0; byte < byte_count; ++byte) {
                const auto line = line_of("a" + std::string(1, static_cast<char>(byte)));
                CPPUNIT_ASSERT(std::ranges::all_of(
                    line, [](char character) { return character >= ' ' && character <= '~'; }));
                CPPUNIT_ASSERT(line.ends_with(" detail=why"));
            }
        });
    }

    void leaves_room_for_the_fields_behind_a_long_value()
    {
        for (const std::string unit : {"a", "&", "\"", "\n", "\xFF"}) {
            section("a value has 8,000 times the same byte", [&] {
                std::string value;
                for (int count = 0; count < 8'000; ++count) {
                    value += unit;
                }
                const auto line = line_of(value);
                CPPUNIT_ASSERT(line.size() <= max_line_bytes);
                CPPUNIT_ASSERT(line.find("...") != std::string::npos);
                CPPUNIT_ASSERT(line.ends_with(" detail=why"));
            });
        }
        section("many long values still make one bounded line", [] {
            const std::string value(8'000, 'a');
            const auto line =
                format_line(log_event::server_entry_invalid,
                            {{"a", value}, {"b", value}, {"c", value}, {"d", value}, {"e", value}});
            CPPUNIT_ASSERT_EQUAL(max_line_bytes, line.size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(logging_tests);

} // namespace

} // namespace tanager
