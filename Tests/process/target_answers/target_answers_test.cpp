#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests::process {

/// Guards against answers of faulty targets that tell callers something untrue.
class target_answers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_answers_test);
    CPPUNIT_TEST(callers_are_not_told_that_a_request_has_not_run_when_it_has);
    CPPUNIT_TEST(refusals_that_come_again_refuse_no_later_request);
    CPPUNIT_TEST_SUITE_END();

public:
    void callers_are_not_told_that_a_request_has_not_run_when_it_has() {
        struct row {
            char const* name;
            platform::standin::target_faults faults;
            char const* path;
            bool may_run_again;
        };
        std::vector<row> const table{
            {"status of a refusal after a run", {.unproven = 1}, "/order/10", false},
            {"status of a refusal after a repeatable run", {.unproven = 1}, "/read/10", true},
            {"answer lost", {.lost = 1}, "/order/20", false},
            {"answer cut off", {.cut = 1}, "/order/30", false},
        };
        platform_world world{{.entries = 1, .engines = 2, .services = 3}};
        for_each_row(table, [&](row const& tested) {
            world.act([&] {
                for (auto const& site : world.fleet().targets())
                    site->target->set_faults(tested.faults);
            });
            for (int number = 0; number < 5; ++number) {
                auto const id = std::string{tested.path} + "-" + std::to_string(number);
                auto const answer = world.call({id, tested.path, 0, {}, 0, tested.may_run_again});
                CPPUNIT_ASSERT_EQUAL(502U, answer.status);
                world.act([&] {
                    auto const* call = world.ledger().find(id);
                    CPPUNIT_ASSERT(call->runs >= 1 && (tested.may_run_again || call->runs == 1));
                });
            }
        });
        world.act([&] { CPPUNIT_ASSERT(world.ledger().violations().empty()); });
    }

    // Guards against a caller who is told that a request has not run while it runs: the target writes its earlier
    // refusal of the same request once more on the connection that carried it.
    void refusals_that_come_again_refuse_no_later_request() {
        platform_world world{{.entries = 1, .engines = 1, .services = 1}};
        world.act([&] {
            for (auto const& site : world.fleet().targets())
                site->target->set_faults({.refused_twice = 1});
        });
        for (int number = 0; number < 5; ++number) {
            auto const id = "refused-" + std::to_string(number);
            CPPUNIT_ASSERT_EQUAL(503U, world.call({id, "/order/10"}).status);
            CPPUNIT_ASSERT_EQUAL(200U, world.call({id, "/order/10"}).status);
            world.act([&] { CPPUNIT_ASSERT_EQUAL(1U, world.ledger().find(id)->runs); });
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_answers_test);

} // namespace cyclamenledge::tests::process
