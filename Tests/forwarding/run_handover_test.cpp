#include "forwarding/run_handover.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace cyclamenledge::tests {

class run_handover_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(run_handover_test);
    CPPUNIT_TEST(streams_go_on_only_when_the_run_before_has_ended);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream that goes on at another target while the target before may still work on it.
    void streams_go_on_only_when_the_run_before_has_ended() {
        using enum forwarding::stop_outcome;
        using enum forwarding::run_condition;
        using enum forwarding::memory_place;
        using places = std::vector<forwarding::memory_place>;
        struct row {
            char const* name;
            forwarding::stop_outcome outcome;
            forwarding::run_condition condition;
            places expected;
        };
        std::vector<row> const table{
            {"moved off a leaving target", moved, leaving, {destination, source, earlier_copy}},
            {"moved off a target that stalled", moved, stalled, {destination, source, earlier_copy}},
            {"moved after its connection was lost", moved, lost, {destination, source, earlier_copy}},
            {"kept by a leaving target", kept, leaving, {source, earlier_copy}},
            {"kept by a target that stalled", kept, stalled, {earlier_copy, source}},
            {"kept after its connection was lost", kept, lost, {earlier_copy, source}},
            {"in the queue of a leaving target, or just complete", not_running, leaving, {}},
            {"in the queue of a target that stalled", not_running, stalled, {}},
            {"gone after its connection was lost", not_running, lost, {earlier_copy}},
            {"the leaving target has ended", ended, leaving, {earlier_copy}},
            {"the stalled target has ended", ended, stalled, {earlier_copy}},
            {"the target has ended with the connection", ended, lost, {earlier_copy}},
            {"its last events may be on their way", gone, leaving, {}},
            {"its last events were lost", gone, stalled, {earlier_copy}},
            {"gone from its target after its connection was lost", gone, lost, {earlier_copy}},
            {"a leaving target that does not answer may send events", unreachable, leaving, {}},
            {"a stalled target that does not answer", unreachable, stalled, {earlier_copy}},
            {"a target that is out of reach", unreachable, lost, {earlier_copy}},
            {"a leaving target that refuses the call", not_stopped, leaving, {}},
            {"a stalled target that refuses the call", not_stopped, stalled, {}},
            {"a target that refuses the call after the connection was lost", not_stopped, lost, {}},
        };
        CPPUNIT_ASSERT_EQUAL(forwarding::stop_outcome_count * forwarding::run_condition_count, table.size());
        for_each_row(table, [](row const& tested) {
            auto const found = forwarding::places_to_go_on(tested.outcome, tested.condition);
            CPPUNIT_ASSERT(std::ranges::equal(tested.expected, found));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_handover_test);

} // namespace cyclamenledge::tests
