#include "forwarding/shared_outcomes.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using forwarding::shared_outcomes;

constexpr base::time_point outcomes_start{std::chrono::hours{1}};

/// An outcome of an entry, a number of milliseconds after the start. The request was granted 5 ms before.
struct outcome_at {
    int ms;
    std::uint64_t entry;
    bool failed;
};

void record(shared_outcomes& outcomes, outcome_at const& outcome, base::milliseconds age = 5ms) {
    auto const now = outcomes_start + base::milliseconds{outcome.ms};
    outcomes.record({outcome.entry, outcome.failed, now - age}, now);
}

/// An engine that three entries have found failing at the start.
shared_outcomes failing_engine() {
    shared_outcomes outcomes;
    for (std::uint64_t entry = 1; entry <= 3; ++entry)
        record(outcomes, {0, entry, true});
    CPPUNIT_ASSERT(outcomes.failing());
    return outcomes;
}

bool failing_at(shared_outcomes& outcomes, base::milliseconds time) {
    outcomes.advance(outcomes_start + time);
    return outcomes.failing();
}

} // namespace

class shared_outcomes_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shared_outcomes_test);
    CPPUNIT_TEST(marks_engines_that_fail_several_entries);
    CPPUNIT_TEST(compares_outcomes_by_the_time_of_the_grant);
    CPPUNIT_TEST(grants_single_probes);
    CPPUNIT_TEST(recovers_with_a_success);
    CPPUNIT_TEST(doubles_the_time_up_to_a_limit);
    CPPUNIT_TEST(leaving_engines_are_not_marked);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against engines that attract requests because they fail them at once, and against engines that are
    // marked because of one entry or of failures that any service has.
    void marks_engines_that_fail_several_entries() {
        struct row {
            char const* name;
            std::vector<outcome_at> outcomes;
            bool failing;
        };
        std::vector<row> const table{
            {"three entries in a row", {{0, 1, true}, {10, 2, true}, {20, 3, true}}, true},
            {"two entries in a row", {{0, 1, true}, {10, 1, true}, {20, 2, true}}, true},
            {"two failures", {{0, 1, true}, {10, 2, true}}, false},
            {"a single entry",
             {{0, 1, true}, {5, 1, true}, {9, 1, true}, {12, 1, true}, {20, 1, true}, {30, 1, true}, {40, 1, true}},
             false},
            {"a single entry beside successes of others",
             {{0, 1, true}, {9, 1, true}, {12, 2, false}, {20, 1, true}, {30, 1, true}, {40, 1, true}, {50, 1, true}},
             false},
            {"interrupted by a success",
             {{0, 1, true}, {10, 2, true}, {20, 3, false}, {30, 3, true}, {40, 1, true}},
             false},
            {"most of six recent outcomes",
             {{0, 1, true}, {10, 2, true}, {20, 3, false}, {30, 3, true}, {40, 1, true}, {50, 3, false}, {60, 4, true}},
             true},
            {"half of six recent outcomes",
             {{0, 1, false}, {10, 2, true}, {20, 3, false}, {30, 3, true}, {40, 1, false}, {50, 3, true}},
             false},
            {"most of the outcomes, but over a long time",
             {{0, 1, true},
              {900, 2, true},
              {1800, 3, false},
              {2700, 3, true},
              {3600, 1, true},
              {4500, 3, false},
              {5400, 4, true}},
             false},
        };
        for_each_row(table, [](row const& tested) {
            shared_outcomes outcomes;
            for (auto const& outcome : tested.outcomes)
                record(outcomes, outcome);
            CPPUNIT_ASSERT_EQUAL(tested.failing, outcomes.failing());
        });
        // A lost entry that has reconnected counts once.
        shared_outcomes outcomes;
        record(outcomes, {0, 1, true});
        record(outcomes, {10, 1, true});
        outcomes.remove_entry(1);
        record(outcomes, {20, 2, true});
        CPPUNIT_ASSERT(!outcomes.failing());
    }

    // Guards against streams that an engine still generates while it refuses new requests, and against late time-outs
    // of requests that an engine lost before it recovered.
    void compares_outcomes_by_the_time_of_the_grant() {
        shared_outcomes outcomes;
        record(outcomes, {0, 1, true});
        record(outcomes, {10, 2, true});
        record(outcomes, {15, 3, false}, 900ms);
        record(outcomes, {20, 3, true});
        CPPUNIT_ASSERT(outcomes.failing());
        record(outcomes, {30, 3, false}, 900ms);
        CPPUNIT_ASSERT(outcomes.failing());

        shared_outcomes recovered;
        record(recovered, {1000, 4, false});
        for (std::uint64_t entry = 1; entry <= 4; ++entry)
            record(recovered, {1100 + static_cast<int>(entry), entry, true}, 800ms);
        CPPUNIT_ASSERT(!recovered.failing());
    }

    // Guards against requests lost at a failing engine: only one in each half second finds out whether it still fails.
    void grants_single_probes() {
        auto outcomes = failing_engine();
        int granted = 0;
        for (auto time = 0ms; time < 990ms; time += 10ms) {
            auto const now = outcomes_start + time;
            outcomes.advance(now);
            if (!outcomes.admits(now))
                continue;
            CPPUNIT_ASSERT(time == 500ms);
            outcomes.on_granted(now);
            record(outcomes, {static_cast<int>(time.count()) + 5, 7, true});
            ++granted;
        }
        CPPUNIT_ASSERT_EQUAL(1, granted);
        // The failure of the probe prolongs the state.
        CPPUNIT_ASSERT(failing_at(outcomes, 1500ms));
        // Requests that were on their way when the engine was marked do not.
        auto once = failing_engine();
        record(once, {300, 8, true}, 400ms);
        CPPUNIT_ASSERT(!failing_at(once, 1000ms));
        record(once, {1100, 9, true}, 1200ms);
        CPPUNIT_ASSERT(!once.failing());
        CPPUNIT_ASSERT(!shared_outcomes{}.failing() && shared_outcomes{}.admits(outcomes_start));
    }

    // Guards against an engine that stays without requests after it has recovered.
    void recovers_with_a_success() {
        auto outcomes = failing_engine();
        outcomes.on_granted(outcomes_start + 500ms);
        record(outcomes, {700, 5, false}, 200ms);
        CPPUNIT_ASSERT(!outcomes.failing());
        CPPUNIT_ASSERT(outcomes.admits(outcomes_start + 701ms));
        // It is judged anew, by failures since.
        record(outcomes, {720, 1, true});
        record(outcomes, {721, 2, true});
        CPPUNIT_ASSERT(!outcomes.failing());
        record(outcomes, {722, 2, true});
        CPPUNIT_ASSERT(outcomes.failing());
        CPPUNIT_ASSERT(failing_at(outcomes, 1721ms));
        CPPUNIT_ASSERT(!failing_at(outcomes, 1722ms));
    }

    // Guards against losing requests again and again at an engine that fails for long, and against an engine that is
    // out of use for minutes.
    void doubles_the_time_up_to_a_limit() {
        auto outcomes = failing_engine();
        int time = 0;
        for (int const period : {1000, 2000, 4000, 8000, 8000}) {
            CPPUNIT_ASSERT(failing_at(outcomes, base::milliseconds{time + period - 1}));
            CPPUNIT_ASSERT(!failing_at(outcomes, base::milliseconds{time + period}));
            // One failure is enough to mark it again.
            time += period + 100;
            record(outcomes, {time, 9, true});
            CPPUNIT_ASSERT(outcomes.failing());
        }
    }

    // Guards against a leaving engine that seems to fail: its agent would withhold the room of its last requests.
    void leaving_engines_are_not_marked() {
        auto outcomes = failing_engine();
        outcomes.on_leaving();
        CPPUNIT_ASSERT(!outcomes.failing());
        for (int number = 0; number < 20; ++number)
            record(outcomes, {number, static_cast<std::uint64_t>(number), true});
        CPPUNIT_ASSERT(!outcomes.failing());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shared_outcomes_test);

} // namespace cyclamenledge::tests
