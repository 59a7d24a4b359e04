#include "answers/answer_assembler.h"
#include "answers/answer_framer.h"
#include "answers/sse_stream_validator.h"
#include "testing/section.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using tanager::testing::section;

namespace tanager {

namespace {

std::vector<protocol::answer_frame> make_answer(const attempt_id& attempt,
                                                const std::vector<std::string>& parts)
{
    answer_framer framer(attempt);
    std::vector<protocol::answer_frame> frames{framer.make_head(200)};
    for (const auto& part : parts) {
        frames.push_back(framer.make_data(part));
    }
    frames.push_back(framer.make_end());
    return frames;
}

} // namespace

class answers_tests : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answers_tests);
    CPPUNIT_TEST(contiguous_frames_complete_an_answer);
    CPPUNIT_TEST(merged_frames_carry_the_same_answer);
    CPPUNIT_TEST(duplicate_and_foreign_frames_are_dropped);
    CPPUNIT_TEST(incomplete_or_altered_answers_are_detected);
    CPPUNIT_TEST(random_deliveries_pass_a_prefix_or_the_complete_answer);
    CPPUNIT_TEST(event_streams_are_validated);
    CPPUNIT_TEST_SUITE_END();

public:
    void contiguous_frames_complete_an_answer()
    {
        answer_assembler assembler({1, 1});
        for (const auto& frame : make_answer({1, 1}, {"lee ", "119"})) {
            CPPUNIT_ASSERT(!assembler.is_complete());
            CPPUNIT_ASSERT(assembler.accept(frame) == frame_verdict::pass);
        }
        CPPUNIT_ASSERT(assembler.is_complete());
    }

    void merged_frames_carry_the_same_answer()
    {
        constexpr std::size_t max_data_bytes = 100;
        const auto frames = make_answer({1, 1}, {"lee ", "119"});
        auto merged = frames.front();
        for (std::size_t i = 1; i < frames.size(); ++i) {
            CPPUNIT_ASSERT(answer_framer::try_merge(merged, frames[i], max_data_bytes));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"lee 119"}, merged.data());
        answer_assembler assembler({1, 1});
        CPPUNIT_ASSERT(assembler.accept(merged) == frame_verdict::pass);
        CPPUNIT_ASSERT(assembler.is_complete());
        section("a frame is not merged into one that has ended or beyond the maximum size", [&] {
            auto ended = frames.back();
            CPPUNIT_ASSERT(!answer_framer::try_merge(ended, frames[1], max_data_bytes));
            auto first = frames[1];
            CPPUNIT_ASSERT(!answer_framer::try_merge(first, frames[2], 6));
        });
    }

    void duplicate_and_foreign_frames_are_dropped()
    {
        answer_assembler assembler({1, 1});
        const auto own = make_answer({1, 1}, {"lee ", "119"});
        const auto other = make_answer({1, 2}, {"rosco"});
        assembler.accept(own[0]);
        assembler.accept(own[1]);
        CPPUNIT_ASSERT(assembler.accept(other[1]) == frame_verdict::wrong_attempt);
        CPPUNIT_ASSERT(assembler.accept(own[0]) == frame_verdict::duplicate);
        CPPUNIT_ASSERT(assembler.accept(own[1]) == frame_verdict::duplicate);
        CPPUNIT_ASSERT(assembler.accept(own[2]) == frame_verdict::pass);
        CPPUNIT_ASSERT(assembler.accept(own[3]) == frame_verdict::pass);
        CPPUNIT_ASSERT(assembler.accept(own[3]) == frame_verdict::duplicate);
    }

    void incomplete_or_altered_answers_are_detected()
    {
        const auto frames = make_answer({1, 1}, {"lee ", "119"});
        section("a missing frame is reported as a gap", [&] {
            answer_assembler assembler({1, 1});
            assembler.accept(frames[0]);
            CPPUNIT_ASSERT(assembler.accept(frames[2]) == frame_verdict::gap);
        });
        section("a missing last data frame is reported as a gap", [&] {
            answer_assembler assembler({1, 1});
            assembler.accept(frames[0]);
            assembler.accept(frames[1]);
            CPPUNIT_ASSERT(assembler.accept(frames[3]) == frame_verdict::gap);
            CPPUNIT_ASSERT(!assembler.is_complete());
        });
        section("a changed byte is reported as a mismatch", [&] {
            auto changed = frames;
            changed[1].set_data("lea ");
            answer_assembler assembler({1, 1});
            assembler.accept(changed[0]);
            assembler.accept(changed[1]);
            assembler.accept(changed[2]);
            CPPUNIT_ASSERT(assembler.accept(changed[3]) == frame_verdict::mismatch);
        });
    }

    void random_deliveries_pass_a_prefix_or_the_complete_answer()
    {
        constexpr std::uint64_t seed = 11;
        constexpr int rounds = 3'000;
        std::mt19937_64 random(seed);
        const std::vector<std::string> parts{"a", "bc", "def", "ghij", "k"};
        const std::string whole = "abcdefghijk";
        const auto own = make_answer({1, 1}, parts);
        const auto other = make_answer({9, 1}, {"zz", "zz", "zz"});
        int whole_count = 0;
        for (int round = 0; round < rounds; ++round) {
            answer_assembler assembler({1, 1});
            std::string passed;
            for (std::size_t next = 0; next < own.size() && !assembler.is_complete();) {
                const auto draw = random() % 10;
                const bool is_late = draw == 0 && next > 0;
                const auto& frame = is_late     ? own[random() % next]
                                    : draw == 1 ? other[random() % other.size()]
                                    : draw == 2 ? own[std::min<std::size_t>(next + 1, own.size() - 1)]
                                                : own[next];
                next += draw > 2 ? 1 : 0;
                const auto verdict = assembler.accept(frame);
                if (verdict == frame_verdict::gap || verdict == frame_verdict::mismatch) {
                    break;
                }
                passed += verdict == frame_verdict::pass ? frame.data() : "";
            }
            CPPUNIT_ASSERT(whole.starts_with(passed));
            CPPUNIT_ASSERT(!assembler.is_complete() || passed == whole);
            whole_count += assembler.is_complete() ? 1 : 0;
        }
        CPPUNIT_ASSERT(whole_count > 100);
        CPPUNIT_ASSERT(whole_count < rounds);
    }

    void event_streams_are_validated()
    {
        const std::string stream = "data: {\"a\":1}\n\n: note\n\ndata: {\"a\":2}\r\n\ndata: [DONE]\n\n";
        section("a complete stream is valid wherever it is split into chunks", [&] {
            for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
                sse_stream_validator validator;
                CPPUNIT_ASSERT(validator.feed(stream.substr(0, cut)));
                CPPUNIT_ASSERT(validator.feed(stream.substr(cut)));
                CPPUNIT_ASSERT(validator.is_complete());
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, validator.events());
            }
        });
        section("a truncated stream is not complete", [&] {
            sse_stream_validator validator;
            validator.feed(stream.substr(0, 30));
            CPPUNIT_ASSERT(!validator.is_complete());
        });
        section("a line that is not a field is invalid", [&] {
            sse_stream_validator validator;
            CPPUNIT_ASSERT(!validator.feed("data: {}\n\x01\x02 no event\n"));
        });
        section("an event after [DONE] is invalid", [&] {
            sse_stream_validator validator;
            CPPUNIT_ASSERT(!validator.feed("data: [DONE]\n\ndata: {}\n"));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answers_tests);

} // namespace tanager
