#include "forwarding/expected_room.h"
#include "forwarding/reservation_controller.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

constexpr prompt_need nothing{0, 0, 0};

constexpr prompt_limits tested_limits{0.85, base::milliseconds{350}};

} // namespace

class expected_room_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(expected_room_test);
    CPPUNIT_TEST(estimates_from_ends_and_waiting_requests);
    CPPUNIT_TEST(estimates_agree_with_what_happens);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against retry times that name a time without room, and against refusals of requests that would get room.
    void estimates_from_ends_and_waiting_requests() {
        struct row {
            char const* name;
            std::uint32_t committed;
            std::uint32_t running;
            std::uint32_t unread;
            prompt_need need;
            prompt_need ahead;
            std::optional<base::milliseconds> expected;
        };
        // 8500 of 10000 tokens may be committed. Requests end after 100, 400 and 1000 ms with 1000, 2000 and 3000.
        std::vector<row> const table{
            {"fits now", 5000, 3, 0, {3500, 100, 1}, nothing, 0ms},
            {"after the first end", 5000, 3, 0, {4500, 100, 1}, nothing, 100ms},
            {"after the second end", 5000, 3, 0, {4501, 100, 1}, nothing, 400ms},
            {"after those ahead of it", 5000, 3, 0, {3000, 100, 1}, {3000, 100, 2}, 400ms},
            {"after requests that run later", 6000, 3, 0, {2500, 100, 1}, {6000, 0, 2}, 1000ms},
            {"beyond the ends, at the same rate", 6000, 3, 0, {2500, 100, 1}, {12000, 0, 4}, 2000ms},
            {"larger than its class may occupy", 0, 0, 0, {8501, 100, 1}, nothing, std::nullopt},
            {"a slot of a full engine", 1000, 10, 0, {1000, 100, 1}, nothing, 100ms},
            {"a slot after those ahead of it", 1000, 10, 0, {1000, 100, 1}, {0, 0, 1}, 400ms},
            {"reading of a prompt", 0, 1, 3150, {1000, 100, 1}, nothing, 100ms},
            {"reading of prompts ahead of it", 0, 1, 2450, {1000, 100, 1}, {0, 1400, 1}, 200ms},
        };
        for_each_row(table, [](row const& tested) {
            engine_report report;
            report.total_tokens = 10000;
            report.committed_tokens = tested.committed;
            report.running = tested.running;
            report.unread_tokens = tested.unread;
            expected_room const room{report, {{1000ms, 3000}, {100ms, 1000}, {400ms, 2000}}, 10};
            CPPUNIT_ASSERT(room.time_until(tested.need, tested.ahead, tested_limits) == tested.expected);
            // Without requests that end, no time is known.
            expected_room const stuck{report, {}, 10};
            if (tested.expected == 100ms && tested.unread == 0)
                CPPUNIT_ASSERT(!stuck.time_until(tested.need, tested.ahead, tested_limits));
        });
    }

    // Guards against estimates that do not follow the pace of the engine.
    void estimates_agree_with_what_happens() {
        for (double const token_time : {5.0, 10.0, 25.0}) {
            reservation_controller controller;
            auto const start = base::time_point{std::chrono::hours{1}};
            engine_report report;
            report.total_tokens = 10000;
            report.started_at = 1;
            controller.grant_immediately({1, "running", 3000, 6000, 24, false}, report, start);
            report.running = 1;
            // The request grows from 3000 to 6000 tokens, as the reports show it for a while.
            auto const tokens_at = [&](base::milliseconds time) {
                return 3000U + static_cast<std::uint32_t>(static_cast<double>(time.count()) / token_time);
            };
            base::milliseconds time{0};
            for (; tokens_at(time) < 4000; time += 50ms) {
                report.used_tokens = tokens_at(time);
                report.generating = {{"running", tokens_at(time)}};
                controller.observe(report, start + time);
            }
            auto const now = start + time - 50ms;
            auto const left = base::milliseconds{static_cast<std::int64_t>(3000 * token_time)} - (time - 50ms);
            controller.request({{1, "waits", 100, 6000, 24, false}, urgency::of_route(1), now, now + 1s, now + 1ms},
                               report, now);
            auto const answers = controller.advance(report, now + 1ms);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answers.size());
            CPPUNIT_ASSERT(!answers.front().granted && answers.front().room_in);
            CPPUNIT_ASSERT(std::chrono::abs(*answers.front().room_in - left) < left / 10);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(expected_room_test);

} // namespace cyclamenledge::tests
