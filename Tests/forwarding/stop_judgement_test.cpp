#include "forwarding/stop_judgement.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using forwarding::run_connection;
using forwarding::run_evidence;
using forwarding::stop_call;
using forwarding::stop_outcome;

} // namespace

class stop_judgement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stop_judgement_test);
    CPPUNIT_TEST(only_a_witness_shows_that_a_run_has_ended);
    CPPUNIT_TEST(a_stopped_run_needs_no_witness);
    CPPUNIT_TEST(reports_show_where_a_run_is);
    CPPUNIT_TEST(values_of_the_wire_are_checked);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a refused, reset, closed or silent connection that is taken for the end of a run at a target that
    // is reached and works on it.
    void only_a_witness_shows_that_a_run_has_ended() {
        using enum stop_outcome;
        struct row {
            char const* name;
            run_connection connection;
            run_evidence evidence;
            /// For the calls without a positive answer, in their order: not_running, declined, unconfirmed,
            /// unanswered, refused, out_of_reach.
            std::vector<stop_outcome> expected;
        };
        using enum run_evidence;
        constexpr auto open = run_connection::open;
        constexpr auto over = run_connection::ended;
        std::vector<row> const table{
            {"no agent, open: a refusal shows that the target lives",
             open,
             none,
             {not_running, not_stopped, not_stopped, unreachable, not_stopped, unreachable}},
            {"no agent, ended: the target cannot be reached",
             over,
             none,
             {not_running, not_stopped, not_stopped, unreachable, unreachable, unreachable}},
            {"the agent sees the run, open",
             open,
             working,
             {not_stopped, not_stopped, not_stopped, not_stopped, not_stopped, unreachable}},
            {"the agent sees the run, ended: the target may not notice the end of a connection",
             over,
             working,
             {not_stopped, not_stopped, not_stopped, not_stopped, not_stopped, unreachable}},
            {"the run may wait at the target, open",
             open,
             may_wait,
             {not_running, not_stopped, not_stopped, not_stopped, not_stopped, unreachable}},
            {"the run may wait at the target, ended",
             over,
             may_wait,
             {not_running, not_stopped, not_stopped, not_stopped, not_stopped, unreachable}},
            {"the run is not there, open", open, not_there, {gone, gone, gone, gone, gone, gone}},
            {"the run is not there, ended", over, not_there, {gone, gone, gone, gone, gone, gone}},
            {"a newer incarnation, open", open, replaced, {ended, ended, ended, ended, ended, ended}},
            {"a newer incarnation, ended", over, replaced, {ended, ended, ended, ended, ended, ended}},
            {"the agent has lost the target, but this process has not",
             open,
             process_ended,
             {not_running, not_stopped, not_stopped, unreachable, not_stopped, ended}},
            {"all connections have ended and new ones are refused",
             over,
             process_ended,
             {not_running, not_stopped, ended, ended, ended, ended}},
            {"the target does not answer its agent either, open",
             open,
             unresponsive,
             {not_running, not_stopped, not_stopped, unreachable, not_stopped, unreachable}},
            {"the target does not answer its agent either, ended",
             over,
             unresponsive,
             {not_running, not_stopped, not_stopped, unreachable, unreachable, unreachable}},
            {"anybody may have written the listing, open",
             open,
             newer_listing,
             {ended, not_stopped, not_stopped, unreachable, not_stopped, unreachable}},
            {"anybody may have written the listing, ended",
             over,
             newer_listing,
             {ended, not_stopped, not_stopped, unreachable, unreachable, unreachable}},
        };
        std::set<std::pair<run_connection, run_evidence>> covered;
        for_each_row(table, [&](row const& tested) {
            covered.emplace(tested.connection, tested.evidence);
            auto call = static_cast<std::uint8_t>(stop_call::not_running);
            CPPUNIT_ASSERT_EQUAL(forwarding::stop_call_count - call, tested.expected.size());
            for (auto const expected : tested.expected) {
                auto const made = static_cast<stop_call>(call++);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    std::string{forwarding::name_of(made)}, forwarding::name_of(expected),
                    forwarding::name_of(forwarding::judge_stop(made, tested.connection, tested.evidence)));
            }
        });
        CPPUNIT_ASSERT_EQUAL(forwarding::run_connection_count * forwarding::run_evidence_count, covered.size());
    }

    // Guards against a stopped run whose memory is not used because somebody else saw the run before.
    void a_stopped_run_needs_no_witness() {
        for (std::uint8_t value = 0; value < forwarding::run_evidence_count; ++value) {
            auto const evidence = static_cast<run_evidence>(value);
            for (auto const connection : {run_connection::open, run_connection::ended}) {
                CPPUNIT_ASSERT(forwarding::judge_stop(stop_call::moved, connection, evidence) == stop_outcome::moved);
                CPPUNIT_ASSERT(forwarding::judge_stop(stop_call::kept, connection, evidence) == stop_outcome::kept);
                CPPUNIT_ASSERT(!forwarding::needs_evidence(stop_call::moved, connection));
                CPPUNIT_ASSERT(!forwarding::needs_evidence(stop_call::kept, connection));
            }
        }
    }

    // Guards against a preempted run, or one of another incarnation, that is taken for one that has ended.
    void reports_show_where_a_run_is() {
        struct row {
            char const* name;
            std::int64_t report_started_at;
            std::uint32_t queued;
            std::uint32_t reading;
            bool listed;
            std::string request;
            run_evidence expected;
        };
        constexpr std::int64_t start = 1000;
        std::vector<row> const table{
            {"listed", start, 0, 0, true, "run", run_evidence::working},
            {"listed beside requests that wait", start, 3, 0, true, "run", run_evidence::working},
            {"not listed, nothing waits", start, 0, 0, false, "run", run_evidence::not_there},
            {"not listed, a request waits", start, 1, 0, false, "run", run_evidence::may_wait},
            {"not listed, a prompt is read", start, 0, 1, false, "run", run_evidence::may_wait},
            {"another run is listed", start, 0, 0, true, "other", run_evidence::not_there},
            {"a newer incarnation", start + 1, 0, 0, false, "run", run_evidence::replaced},
            {"a newer incarnation that lists the request", start + 1, 0, 0, true, "run", run_evidence::replaced},
            {"an older incarnation", start - 1, 0, 0, false, "run", run_evidence::none},
            {"a report without a start", 0, 0, 0, false, "run", run_evidence::none},
            {"the incarnation only", start, 0, 0, false, "", run_evidence::working},
            {"the incarnation only, which is replaced", start + 1, 0, 0, false, "", run_evidence::replaced},
        };
        for_each_row(table, [](row const& tested) {
            forwarding::engine_report report;
            report.started_at = tested.report_started_at;
            report.queued = tested.queued;
            report.reading = tested.reading;
            if (tested.listed)
                report.generating.push_back({"run", 100, 5});
            CPPUNIT_ASSERT_EQUAL(forwarding::name_of(tested.expected),
                                 forwarding::name_of(forwarding::find_evidence(report, tested.request, start)));
        });
    }

    // Guards against a message of another software version that is read as a statement which nobody made.
    void values_of_the_wire_are_checked() {
        CPPUNIT_ASSERT(!forwarding::parse_stated_evidence(forwarding::run_evidence_count));
        CPPUNIT_ASSERT(!forwarding::parse_stated_evidence(static_cast<std::uint8_t>(run_evidence::newer_listing)));
        CPPUNIT_ASSERT(forwarding::parse_stated_evidence(static_cast<std::uint8_t>(run_evidence::unresponsive)) ==
                       run_evidence::unresponsive);
        CPPUNIT_ASSERT(!forwarding::parse_stop_call(forwarding::stop_call_count));
        CPPUNIT_ASSERT(forwarding::parse_stop_call(0) == stop_call::moved);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_judgement_test);

} // namespace cyclamenledge::tests
