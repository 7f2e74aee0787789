#include "base/random.h"
#include "forwarding/attempt_policy.h"
#include "support/property.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

} // namespace

class attempt_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(attempt_test);
    CPPUNIT_TEST(repetition_and_final_answer);
    CPPUNIT_TEST(refused_requests_have_not_run);
    CPPUNIT_TEST(stalled_runs_are_replaced_only_where_another_may_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void repetition_and_final_answer() {
        struct row {
            char const* name;
            attempt_facts facts;
            repetition again;
            final_answer conclusion;
        };
        using enum send_outcome;
        std::vector<row> const table{
            {"success", {answered, false, true, 1, 2, 0}, repetition::none, final_answer::pass_on},
            {"failed read", {answered, true, true, 1, 2, 0}, repetition::on_budget, final_answer::pass_on},
            {"failed read, no runs left", {answered, true, true, 2, 2, 0}, repetition::none, final_answer::pass_on},
            {"failed order", {answered, true, false, 1, 2, 0}, repetition::none, final_answer::pass_on},
            {"lost order", {unknown, false, false, 1, 2, 0}, repetition::none, final_answer::fail},
            {"lost read", {unknown, false, true, 1, 2, 0}, repetition::on_budget, final_answer::fail},
            {"refused order", {not_run, true, false, 0, 1, 0}, repetition::on_budget, final_answer::pass_on},
            {"refused after a lost read", {not_run, true, true, 1, 2, 0}, repetition::on_budget, final_answer::fail},
            {"refused after two lost reads", {not_run, true, true, 2, 2, 0}, repetition::none, final_answer::fail},
            // Unreachable targets are not charged to the retry budget. When a region was cut off, each of its targets
            // used up the budget, and requests were refused although other targets were idle.
            {"unreachable", {not_sent, false, false, 0, 1, 1}, repetition::free, final_answer::refuse},
            {"all unreachable", {not_sent, false, false, 0, 1, 4}, repetition::none, final_answer::refuse},
            {"unreachable after a lost read", {not_sent, false, true, 1, 2, 1}, repetition::free, final_answer::fail},
            // A request that crashed targets was sent to one target after the other.
            {"lost read that crashes targets",
             {unknown, false, true, 1, 2, 0, true},
             repetition::none,
             final_answer::fail},
            {"unsent order that crashes targets",
             {not_sent, false, false, 0, 1, 1, true},
             repetition::none,
             final_answer::refuse},
            {"refused read that crashes targets",
             {not_run, true, true, 0, 2, 0, true},
             repetition::none,
             final_answer::pass_on},
        };
        for_each_row(table, [](row const& tested) {
            CPPUNIT_ASSERT(may_repeat(tested.facts) == tested.again);
            CPPUNIT_ASSERT(conclude(tested.facts) == tested.conclusion);
        });
    }

    // Guards against a stream that is lost because its stalled run is ended although no other may run.
    void stalled_runs_are_replaced_only_where_another_may_run() {
        struct row {
            char const* name;
            run_facts facts;
            std::optional<stall_action> action;
            base::milliseconds after;
        };
        using enum stall_action;
        std::vector<row> const table{
            {"nothing to do before the first event", {false, false, false, 1s}, {}, 0ms},
            {"nothing to do after it", {true, false, false, 1s}, {}, 0ms},
            {"no replica before the first event", {false, true, false, 1s}, {}, 0ms},
            {"replica", {true, true, false, 1s}, resume_from_backup, 900ms},
            {"first event late", {false, false, true, 1s}, replace, 1000ms},
            {"resumable stream", {true, false, true, 1s}, replace, 1500ms},
        };
        for_each_row(table, [](row const& tested) {
            auto const rule = rule_for_stall(tested.facts);
            CPPUNIT_ASSERT_EQUAL(tested.action.has_value(), rule.has_value());
            CPPUNIT_ASSERT(!rule || (rule->action == *tested.action && rule->after == tested.after));
        });
    }

    // Guards against a refusal of a request that a target has run. Sends a request to targets with random outcomes for
    // as long as the policy allows, and counts the runs.
    void refused_requests_have_not_run() {
        check_property("refusals are true", [](std::uint64_t seed) {
            base::random_source random{seed};
            bool const may_run_again = random.below(2) == 0;
            attempt_facts facts;
            facts.may_run_again = may_run_again;
            facts.maximum_runs = 1 + static_cast<std::uint32_t>(random.below(3));
            std::uint32_t ran = 0;
            while (true) {
                static constexpr std::array outcomes{send_outcome::answered, send_outcome::not_run,
                                                     send_outcome::not_sent, send_outcome::unknown};
                facts.outcome = outcomes.at(random.below(outcomes.size()));
                facts.server_error = random.below(2) == 0;
                bool const may_have_run =
                    facts.outcome == send_outcome::answered || facts.outcome == send_outcome::unknown;
                ran += may_have_run ? 1 : 0;
                facts.runs += may_have_run ? 1 : 0;
                facts.unsent += facts.outcome == send_outcome::not_sent ? 1 : 0;
                if (may_repeat(facts) == repetition::none || random.below(4) == 0)
                    break;
            }
            RC_ASSERT(ran <= (may_run_again ? facts.maximum_runs : 1));
            auto const conclusion = conclude(facts);
            RC_ASSERT(conclusion != final_answer::refuse || ran == 0);
            // The response of a target that did not run the request is passed on only if no other target may have run
            // it.
            RC_ASSERT(conclusion != final_answer::pass_on || facts.outcome == send_outcome::answered || ran == 0);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(attempt_test);

} // namespace cyclamenledge::tests
