#include "base/byte_codec.h"
#include "base/digest.h"
#include "base/text.h"
#include "base/types/result.h"
#include "testing/section.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

using tanager::testing::section;

namespace tanager {

class base_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(base_tests);
    CPPUNIT_TEST(digests_are_stable);
    CPPUNIT_TEST(text_helpers_compare_split_and_format);
    CPPUNIT_TEST(result_codes_have_names_and_http_statuses);
    CPPUNIT_TEST(reads_back_what_a_byte_writer_has_written);
    CPPUNIT_TEST_SUITE_END();

public:
    void digests_are_stable()
    {
        section("SHA-256 of \"abc\" equals the published test vector", [] {
            const std::string expected = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
            CPPUNIT_ASSERT_EQUAL(expected, sha256_hex("abc"));
        });
        section("an incremental checksum does not depend on how the text is split", [] {
            incremental_checksum whole;
            whole.update("swatch R119");
            incremental_checksum chunked;
            chunked.update("swat");
            chunked.update("");
            chunked.update("ch R119");
            CPPUNIT_ASSERT_EQUAL(whole.value(), chunked.value());
            section("a further byte changes the checksum", [&] {
                chunked.update("!");
                CPPUNIT_ASSERT(whole.value() != chunked.value());
            });
        });
        section("the constant-time comparison detects differences in content and length", [] {
            CPPUNIT_ASSERT(equal_in_constant_time("abc", "abc"));
            CPPUNIT_ASSERT(!equal_in_constant_time("abc", "abd"));
            CPPUNIT_ASSERT(!equal_in_constant_time("abc", "ab"));
        });
    }

    void text_helpers_compare_split_and_format()
    {
        section("a misspelt word yields the nearest candidate, an unrelated word none", [] {
            const std::vector<std::string> known{"port", "address", "data_centre"};
            CPPUNIT_ASSERT_EQUAL(std::string{"data_centre"}, nearest_word("datacentre", known).value());
            CPPUNIT_ASSERT(!nearest_word("zzzzzz", known).has_value());
        });
        section("a list is split, its parts are trimmed and empty parts are skipped", [] {
            const std::vector<std::string> expected{"a", "b"};
            CPPUNIT_ASSERT(split_list(" a, ,b ,") == expected);
        });
        CPPUNIT_ASSERT_EQUAL(std::string{"00000000000000ff"}, to_hex(255));
        CPPUNIT_ASSERT_EQUAL(std::string{"-"}, to_hex_list({}));
        CPPUNIT_ASSERT_EQUAL(std::string{"0000000000000001,00000000000000ff"}, to_hex_list({1, 255}));
    }

    void result_codes_have_names_and_http_statuses()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"member_over_cap"},
                             std::string{name_of(result_code::member_over_cap)});
        CPPUNIT_ASSERT_EQUAL(429, http_status_of(result_code::member_over_cap));
    }

    void reads_back_what_a_byte_writer_has_written()
    {
        section("numbers of every length, a hash and a text are written", [] {
            const std::vector<std::uint64_t> numbers{
                0, 1, 127, 128, 16'383, 16'384, std::numeric_limits<std::uint64_t>::max()};
            byte_writer writer;
            for (const auto number : numbers) {
                writer.write_number(number);
            }
            writer.write_hash(0x89abcdef);
            writer.write_text("a text");
            section("they are read back in the same order", [&] {
                byte_reader reader(writer.bytes());
                for (const auto number : numbers) {
                    CPPUNIT_ASSERT_EQUAL(number, reader.read_number());
                }
                CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x89abcdef}, reader.read_hash());
                CPPUNIT_ASSERT_EQUAL(std::string{"a text"}, std::string{reader.read_text()});
                CPPUNIT_ASSERT(reader.is_complete());
            });
        });
        section("a small number takes one byte", [] {
            byte_writer writer;
            writer.write_number(100);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, writer.bytes().size());
        });
        section("malformed bytes make the reader invalid for good", [] {
            section("a number without an end", [] {
                const std::string bytes(12, '\xff');
                byte_reader reader(bytes);
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, reader.read_number());
                CPPUNIT_ASSERT(!reader.is_valid());
                CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, reader.read_hash());
            });
            section("a text that is longer than the rest", [] {
                byte_reader reader("\x05"
                                   "abc");
                CPPUNIT_ASSERT(reader.read_text().empty());
                CPPUNIT_ASSERT(!reader.is_valid());
            });
            section("more elements than there is room for", [] {
                byte_reader reader("\x03"
                                   "abcdefgh");
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, reader.read_count(4));
                CPPUNIT_ASSERT(!reader.is_valid());
            });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(base_tests);

} // namespace tanager
