#include "forwarding/connection_end.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace forwarding;

} // namespace

/// Guards against a connection's end that is taken for the end of an answer, although the target crashed or the run was
/// stopped.
class connection_end_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_end_test);
    CPPUNIT_TEST(only_a_target_that_lives_on_ends_an_answer_with_its_connection);
    CPPUNIT_TEST(evidence_of_a_run_shows_its_incarnation);
    CPPUNIT_TEST(calls_without_an_answer_may_have_stopped_the_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void only_a_target_that_lives_on_ends_an_answer_with_its_connection() {
        struct row {
            char const* name;
            incarnation_state state;
            stop_effect stopped;
            bool whole;
        };
        using enum incarnation_state;
        std::vector<row> const table{
            {"lives on", running, stop_effect::none, true},
            {"crashed", ended, stop_effect::none, false},
            {"out of reach", unknown, stop_effect::none, false},
            {"stopped", running, stop_effect::certain, false},
            {"the answer to the call that stops it was lost", running, stop_effect::possible, false},
            {"crashed when it was to be stopped", ended, stop_effect::possible, false},
        };
        for_each_row(table, [](row const& tested) {
            CPPUNIT_ASSERT_EQUAL(tested.whole, ends_whole_answer(tested.state, tested.stopped));
        });
    }

    // Guards against a target that counts as ended, or as alive, without a witness.
    void evidence_of_a_run_shows_its_incarnation() {
        struct row {
            char const* name;
            run_evidence evidence;
            incarnation_state expected;
        };
        using enum run_evidence;
        std::vector<row> const table{
            {"no agent", none, incarnation_state::unknown},
            {"the run is there", working, incarnation_state::running},
            {"the run may wait", may_wait, incarnation_state::running},
            {"the run is not there", not_there, incarnation_state::running},
            {"a newer incarnation answers", replaced, incarnation_state::ended},
            {"the agent's connection has ended, and new ones are refused", process_ended, incarnation_state::ended},
            {"no answer to the agent", unresponsive, incarnation_state::unknown},
            {"somebody has listed a newer incarnation", newer_listing, incarnation_state::unknown},
        };
        CPPUNIT_ASSERT_EQUAL(run_evidence_count, table.size());
        for_each_row(table, [](row const& tested) {
            CPPUNIT_ASSERT_EQUAL(name_of(tested.expected), name_of(state_shown_by(tested.evidence)));
        });
    }

    // Guards against a run that is taken for one that ended by itself, because the answer to the call that stopped it
    // was late or lost.
    void calls_without_an_answer_may_have_stopped_the_run() {
        struct row {
            char const* name;
            stop_outcome outcome;
            bool answers_uncertain;
            stop_effect effect;
        };
        using enum stop_outcome;
        std::vector<row> const table{
            {"moved", moved, false, stop_effect::certain},
            {"moved by the second call", moved, true, stop_effect::certain},
            {"kept", kept, false, stop_effect::certain},
            {"had ended", not_running, false, stop_effect::none},
            {"not running for the second call", not_running, true, stop_effect::possible},
            {"gone after a lost call", gone, true, stop_effect::possible},
            {"no answer in time", unreachable, true, stop_effect::possible},
            {"could not be called", unreachable, false, stop_effect::none},
            {"refused", not_stopped, false, stop_effect::none},
            {"first call lost, then busy", not_stopped, true, stop_effect::possible},
            {"process ended after a lost call", stop_outcome::ended, true, stop_effect::possible},
        };
        for_each_row(table, [](row const& tested) {
            CPPUNIT_ASSERT(tested.effect == effect_of(tested.outcome, tested.answers_uncertain));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_end_test);

} // namespace cyclamenledge::tests
