#include "fleet/server_id.h"
#include "testing/section.h"

#include <cctype>
#include <cppunit/extensions/HelperMacros.h>
#include <string>

namespace tanager {

namespace {

using testing::section;

constexpr int byte_count = 256;

class server_id_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_id_tests);
    CPPUNIT_TEST(accepts_unreserved_characters);
    CPPUNIT_TEST_SUITE_END();

public:
    void accepts_unreserved_characters()
    {
        section("ids as servers have them", [] {
            for (const auto* const id : {"i-46e7d6d189", "e0", "rack-3.node_7", "10.0.0.9", "a~b"}) {
                CPPUNIT_ASSERT_MESSAGE(id, is_server_id(id));
            }
        });
        section("a name holds any byte in the middle or at its end", [] {
            for (int value = 0; value < byte_count; ++value) {
                const char byte = static_cast<char>(value);
                const bool is_expected = (value < 0x80 && std::isalnum(value) != 0) || byte == '-' ||
                                         byte == '.' || byte == '_' || byte == '~';
                CPPUNIT_ASSERT_EQUAL(is_expected, is_server_id(std::string{'e', byte, 'b'}));
                CPPUNIT_ASSERT_EQUAL(is_expected, is_server_id(std::string{'e', byte}));
            }
        });
        section("a name is empty or long", [] {
            CPPUNIT_ASSERT(!is_server_id(""));
            CPPUNIT_ASSERT(is_server_id(std::string(max_server_id_bytes, 'a')));
            CPPUNIT_ASSERT(!is_server_id(std::string(max_server_id_bytes + 1, 'a')));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_id_tests);

} // namespace

} // namespace tanager
