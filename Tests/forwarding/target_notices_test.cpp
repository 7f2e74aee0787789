#include "forwarding/fleet_fixture.h"
#include "forwarding/return_schedule.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

target_record plain_record(std::string const& id) {
    auto record = engine_record(id, "north-a");
    record.service = "orders";
    record.started_at = 5;
    return record;
}

placement_request call(base::time_point wait_until) {
    placement_request request;
    request.service = "orders";
    request.wait_until = wait_until;
    return request;
}

/// Two targets, of which each has said in a refusal that it wants nothing for the time, unless that is zero.
fleet_view make_held_fleet(base::milliseconds first, base::milliseconds second) {
    auto fleet = make_fleet();
    fleet.update_target(plain_record("a"), fleet_start);
    fleet.update_target(plain_record("b"), fleet_start);
    fleet.hold_off({"a", 5}, first, fleet_start);
    fleet.hold_off({"b", 5}, second, fleet_start);
    return fleet;
}

} // namespace

class target_notices_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_notices_test);
    CPPUNIT_TEST(a_target_that_has_said_that_it_leaves_is_not_used_again);
    CPPUNIT_TEST(requests_go_elsewhere_wait_or_return_after_a_hold_off);
    CPPUNIT_TEST(hold_offs_of_tried_targets_are_told);
    CPPUNIT_TEST(the_latest_end_of_a_hold_off_counts);
    CPPUNIT_TEST(notices_of_an_earlier_incarnation_say_nothing_of_a_later_one);
    CPPUNIT_TEST(a_hold_off_ends_with_the_incarnation);
    CPPUNIT_TEST(a_hold_off_outlasts_a_removal);
    CPPUNIT_TEST(engines_in_a_hold_off_hold_no_copies);
    CPPUNIT_TEST(copies_off_an_engine_in_a_hold_off_are_few);
    CPPUNIT_TEST(refused_callers_return_after_the_hold_off);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a listing that makes a target usable again after it has said that it leaves.
    void a_target_that_has_said_that_it_leaves_is_not_used_again() {
        struct row {
            char const* name;
            void (*change)(fleet_view&);
            bool usable;
        };
        std::vector<row> const table{
            {"not listed again", [](fleet_view&) {}, false},
            {"listed again", [](fleet_view& fleet) { fleet.update_target(plain_record("a"), fleet_start + 1s); },
             false},
            {"removed and listed again",
             [](fleet_view& fleet) {
                 fleet.remove_target("a", true, fleet_start);
                 fleet.update_target(plain_record("a"), fleet_start + 1s);
             },
             false},
            {"removed for a while and listed again",
             [](fleet_view& fleet) {
                 fleet.remove_target("a", false, fleet_start);
                 fleet.expire(fleet_start + fleet_view::removed_lifetime + 1s);
                 fleet.update_target(plain_record("a"), fleet_start + fleet_view::removed_lifetime + 2s);
             },
             false},
            {"new incarnation",
             [](fleet_view& fleet) {
                 auto record = plain_record("a");
                 record.started_at = 6;
                 fleet.update_target(record, fleet_start + 1s);
             },
             true},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_fleet();
            fleet.update_target(plain_record("a"), fleet_start);
            CPPUNIT_ASSERT(fleet.mark_leaving({"a", 5}, fleet_start));
            CPPUNIT_ASSERT(!fleet.mark_leaving({"a", 5}, fleet_start));
            tested.change(fleet);
            auto const later = fleet_start + fleet_view::removed_lifetime + 3s;
            CPPUNIT_ASSERT_EQUAL(tested.usable, fleet.may_receive("a", later));
            auto const expected = tested.usable ? placement_kind::placed : placement_kind::none;
            CPPUNIT_ASSERT(fleet.choose(call(later), later).kind == expected);
        });
    }

    // Guards against requests at a target that wants nothing, and against a time to return at which no target takes
    // any.
    void requests_go_elsewhere_wait_or_return_after_a_hold_off() {
        struct row {
            char const* name;
            base::milliseconds first;
            base::milliseconds second;
            base::milliseconds wait;
            base::milliseconds at;
            placement_kind expected;
            /// When the first hold-off ends.
            base::milliseconds available_at;
        };
        std::vector<row> const table{
            {"another takes it", 2s, 0s, 0s, 0s, placement_kind::placed, 0s},
            {"one hold-off has ended", 2s, 1s, 0s, 1s, placement_kind::placed, 0s},
            {"the first ends in time", 2s, 1s, 1s, 0s, placement_kind::wait, 1s},
            {"the first ends too late", 2s, 1s, 900ms, 0s, placement_kind::exhausted, 1s},
            {"the first has ended", 2s, 1s, 0s, 1500ms, placement_kind::placed, 0s},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_held_fleet(tested.first, tested.second);
            auto const made = fleet.choose(call(fleet_start + tested.wait), fleet_start + tested.at);
            CPPUNIT_ASSERT(made.kind == tested.expected);
            if (tested.expected == placement_kind::placed) {
                CPPUNIT_ASSERT_EQUAL(std::string{"b"}, made.target);
                return;
            }
            CPPUNIT_ASSERT(made.available_at == fleet_start + tested.available_at);
            CPPUNIT_ASSERT(made.held_until == made.available_at);
            CPPUNIT_ASSERT(made.permits_per_second > 0);
        });
    }

    // Guards against a caller that is told to return at once after all targets have turned its request away.
    void hold_offs_of_tried_targets_are_told() {
        auto fleet = make_held_fleet(2s, 3s);
        std::vector<std::string> const tried{"a", "b"};
        auto request = call(fleet_start + 10s);
        request.excluded = tried;
        auto const made = fleet.choose(request, fleet_start);
        CPPUNIT_ASSERT(made.kind == placement_kind::exhausted);
        CPPUNIT_ASSERT(made.held_until == fleet_start + 2s);
        CPPUNIT_ASSERT(fleet.choose(request, fleet_start + 2s).kind == placement_kind::none);
        CPPUNIT_ASSERT(fleet.find_hold_off(request, fleet_start).has_value());
        CPPUNIT_ASSERT(!fleet.find_hold_off(request, fleet_start + 2s).has_value());
    }

    // Guards against an answer that overtakes another and ends the time for which the target wants nothing.
    void the_latest_end_of_a_hold_off_counts() {
        auto fleet = make_fleet();
        fleet.update_target(plain_record("a"), fleet_start);
        CPPUNIT_ASSERT(fleet.hold_off({"a", 5}, 2s, fleet_start));
        CPPUNIT_ASSERT(!fleet.hold_off({"a", 5}, 1s, fleet_start + 100ms));
        CPPUNIT_ASSERT(!fleet.hold_off({"a", 5}, 0s, fleet_start + 100ms));
        CPPUNIT_ASSERT(!fleet.may_receive("a", fleet_start + 1999ms));
        CPPUNIT_ASSERT(fleet.hold_off({"a", 5}, 2s, fleet_start + 1s));
        CPPUNIT_ASSERT(!fleet.may_receive("a", fleet_start + 2999ms));
        CPPUNIT_ASSERT(fleet.may_receive("a", fleet_start + 3s));
        CPPUNIT_ASSERT(!fleet.hold_off({"unknown", 5}, 2s, fleet_start));
    }

    // Guards against a healthy target that is never used again, because a late answer of the process that had its id
    // before was read after its own announcement.
    void notices_of_an_earlier_incarnation_say_nothing_of_a_later_one() {
        auto fleet = make_fleet();
        auto record = plain_record("a");
        fleet.update_target(record, fleet_start);
        record.started_at = 6;
        fleet.update_target(record, fleet_start + 1s);
        CPPUNIT_ASSERT(!fleet.mark_leaving({"a", 5}, fleet_start + 1s));
        CPPUNIT_ASSERT(!fleet.hold_off({"a", 5}, 2s, fleet_start + 1s));
        CPPUNIT_ASSERT(fleet.may_receive("a", fleet_start + 1s));
    }

    // Guards against a new incarnation that is left unused, and against a listing that ends the hold-off of the same
    // one.
    void a_hold_off_ends_with_the_incarnation() {
        auto fleet = make_fleet();
        auto record = plain_record("a");
        fleet.update_target(record, fleet_start);
        fleet.hold_off({"a", 5}, 2s, fleet_start);
        fleet.update_target(record, fleet_start + 1s);
        CPPUNIT_ASSERT(!fleet.may_receive("a", fleet_start + 1s));
        record.started_at = 6;
        fleet.update_target(record, fleet_start + 1s);
        CPPUNIT_ASSERT(fleet.may_receive("a", fleet_start + 1s));
    }

    // Guards against a target that is forgotten with its hold-off and listed again.
    void a_hold_off_outlasts_a_removal() {
        auto fleet = make_fleet();
        fleet.update_target(plain_record("a"), fleet_start);
        fleet.hold_off({"a", 5}, 60s, fleet_start);
        fleet.remove_target("a", false, fleet_start);
        fleet.expire(fleet_start + 40s);
        fleet.update_target(plain_record("a"), fleet_start + 41s);
        CPPUNIT_ASSERT(!fleet.may_receive("a", fleet_start + 41s));
        CPPUNIT_ASSERT(fleet.may_receive("a", fleet_start + 60s));
    }

    void engines_in_a_hold_off_hold_no_copies() {
        auto fleet = make_fleet();
        for (auto const* id : {"source", "a"}) {
            fleet.update_target(engine_record(id, "north-a"), fleet_start);
            fleet.update_report(std::string{id} + ":1", idle_report(), fleet_start);
        }
        copy_request const wanted{generation(), "source", 4000, 0.97, copy_span::other_region};
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, fleet.choose_copy_holder(wanted, fleet_start).target);
        fleet.hold_off({"a", 0}, 1s, fleet_start);
        CPPUNIT_ASSERT(fleet.choose_copy_holder(wanted, fleet_start).kind == placement_kind::none);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, fleet.choose_copy_holder(wanted, fleet_start + 1s).target);
    }

    // Guards against streams that are lost because no copy is made, and against more calls than the target bears.
    void copies_off_an_engine_in_a_hold_off_are_few() {
        auto fleet = make_fleet();
        fleet.update_target(plain_record("a"), fleet_start);
        for (int number = 0; number < 5; ++number)
            CPPUNIT_ASSERT(fleet.take_copy_call("a", fleet_start));
        fleet.hold_off({"a", 5}, 2s, fleet_start);
        CPPUNIT_ASSERT(fleet.take_copy_call("a", fleet_start + 1s));
        // A longer hold-off permits no further calls.
        fleet.hold_off({"a", 5}, 2s, fleet_start + 1s);
        CPPUNIT_ASSERT(fleet.take_copy_call("a", fleet_start + 1s));
        CPPUNIT_ASSERT(!fleet.may_copy_from("a", fleet_start + 1s));
        CPPUNIT_ASSERT(!fleet.take_copy_call("a", fleet_start + 2999ms));
        CPPUNIT_ASSERT(fleet.take_copy_call("a", fleet_start + 3s));
        fleet.hold_off({"a", 5}, 2s, fleet_start + 4s);
        CPPUNIT_ASSERT(fleet.may_copy_from("a", fleet_start + 4s));
    }

    // Guards against callers that are told to return before any target takes requests, or all at the same moment.
    void refused_callers_return_after_the_hold_off() {
        return_schedule schedule;
        auto const end = fleet_start + 8s;
        CPPUNIT_ASSERT(schedule.next(end, 4, fleet_start, end) == 8s);
        CPPUNIT_ASSERT(schedule.next(end, 4, fleet_start, end) == 8250ms);
        CPPUNIT_ASSERT(schedule.next(end, 4, fleet_start + 1s, end) == 7500ms);
        for (int caller = 0; caller < 100; ++caller) {
            auto const told = schedule.next(end, 4, fleet_start, end);
            CPPUNIT_ASSERT(told >= 8s && told <= 8s + return_schedule::latest_return);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_notices_test);

} // namespace cyclamenledge::tests
