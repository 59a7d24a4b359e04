#include "net/uri.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>

namespace tanager {

namespace {

using testing::section;

constexpr int byte_count = 256;

class uri_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(uri_tests);
    CPPUNIT_TEST(encodes_all_but_unreserved_characters);
    CPPUNIT_TEST_SUITE_END();

public:
    void encodes_all_but_unreserved_characters()
    {
        section("a text holds each byte once", [] {
            const std::string unreserved =
                "-.0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";
            for (int value = 0; value < byte_count; ++value) {
                const std::string byte(1, static_cast<char>(value));
                const auto encoded = encode_uri_component(byte);
                if (unreserved.find(byte) != std::string::npos) {
                    CPPUNIT_ASSERT_EQUAL(byte, encoded);
                } else {
                    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, encoded.size());
                    CPPUNIT_ASSERT_EQUAL('%', encoded.front());
                    CPPUNIT_ASSERT_EQUAL(value, std::stoi(encoded.substr(1), nullptr, 16));
                }
            }
        });
        section("a text may be empty, or hold a zero byte", [] {
            CPPUNIT_ASSERT_EQUAL(std::string{}, encode_uri_component(""));
            CPPUNIT_ASSERT_EQUAL(std::string{"a%00b"}, encode_uri_component({"a\0b", 3}));
        });
        section("the slashes of a path stay, and its segments are encoded", [] {
            CPPUNIT_ASSERT_EQUAL(std::string{"member/a%20b/%26/"}, encode_uri_segments("member/a b/&/"));
            CPPUNIT_ASSERT_EQUAL(std::string{}, encode_uri_segments(""));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(uri_tests);

} // namespace

} // namespace tanager
