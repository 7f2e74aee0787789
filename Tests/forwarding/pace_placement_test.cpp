#include "forwarding/fleet_fixture.h"
#include "forwarding/pace_simulation.h"
#include "forwarding/pause_risk.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

placement_request long_stream() {
    placement_request request;
    request.service = "writer";
    request.size = generation_size{3000, 1000, 752};
    request.pause_objective = 180ms;
    return request;
}

placement_request short_stream() {
    placement_request request;
    request.service = "writer";
    request.size = generation_size{2200, 32, 12};
    request.pause_objective = 180ms;
    return request;
}

engine_report paced_report(double pace, double pace_now = 0) {
    auto report = idle_report();
    report.pace = pace;
    report.pace_now = pace_now;
    // The agent keeps requests waiting.
    report.room_in = 0ms;
    return report;
}

fleet_view make_paced_fleet(std::uint64_t seed, bool follow = true) {
    auto fleet = make_fleet(seed);
    fleet.configure_overload({0ms, follow});
    for (auto const* service : {"writer", "orders"})
        fleet.on_pace_stated(service);
    return fleet;
}

void add_engine(fleet_view& fleet, std::string const& id, engine_report const& report) {
    fleet.update_target(engine_record(id, "north-a"), fleet_start);
    fleet.update_report(id + ":1", report, fleet_start);
}

void add_plain(fleet_view& fleet, std::string const& id) {
    auto record = engine_record(id, "north-a");
    record.service = "orders";
    record.slots = 6;
    fleet.update_target(record, fleet_start);
}

/// Counts how often each target is chosen, over many seeds.
template <class MakeFleet>
std::map<std::string, int> count_choices(MakeFleet const& make, placement_request const& request,
                                         base::time_point now = fleet_start) {
    std::map<std::string, int> chosen;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        auto fleet = make(seed);
        ++chosen[fleet.choose(request, now).target];
    }
    return chosen;
}

} // namespace

class pace_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(pace_placement_test);
    CPPUNIT_TEST(expected_pauses);
    CPPUNIT_TEST(long_streams_avoid_engines_with_pause_risk);
    CPPUNIT_TEST(long_streams_use_slow_engines_if_no_other_has_room);
    CPPUNIT_TEST(nothing_changes_while_paces_are_not_followed);
    CPPUNIT_TEST(copies_avoid_pause_risk_within_their_failure_domain);
    CPPUNIT_TEST(plain_targets);
    CPPUNIT_TEST(stated_loads_expire);
    CPPUNIT_TEST(a_target_that_lies_does_not_attract_streams);
    CPPUNIT_TEST(streams_over_engines_of_uneven_pace);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against figures that differ from those of the engines that were observed.
    void expected_pauses() {
        struct row {
            char const* name;
            std::uint32_t output;
            std::uint32_t running;
            int objective;
            pace_estimate pace;
            double pause;
            bool penalty;
        };
        std::vector<row> const table{
            {"slow machine", 752, 7, 180, {1.7, 1.7}, 4 * 15.96 * 4.25, true},
            {"fast machine", 752, 7, 180, {0.7, 0.7}, 4 * 15.96 * 1.75, false},
            {"fast machine, full", 752, 23, 180, {0.7, 0.7}, 4 * 17.88 * 1.75, false},
            {"fast machine, stalled", 752, 7, 180, {0.7, 10}, 4 * 15.96 * 10, true},
            {"short stream", 12, 7, 180, {1.7, 4.25}, 4 * 15.96 * 4.25, false},
            {"no objective", 752, 7, 0, {1.7, 4.25}, 4 * 15.96 * 4.25, false},
            {"wide objective", 752, 7, 600, {1.7, 4.25}, 4 * 15.96 * 4.25, false},
        };
        for_each_row(table, [](row const& tested) {
            pause_facts const facts{tested.output, 4, tested.running, base::milliseconds{tested.objective}};
            CPPUNIT_ASSERT_DOUBLES_EQUAL(tested.pause, expected_pause(facts, tested.pace), 0.01);
            CPPUNIT_ASSERT_EQUAL(tested.penalty, pause_penalty(facts, tested.pace) > 0);
        });
    }

    // Guards against long streams at an engine whose pauses exceed the objective while another engine has room, also a
    // busy or a distant one, and against short streams that avoid it as well.
    void long_streams_avoid_engines_with_pause_risk() {
        auto const make = [](std::uint64_t seed) {
            auto fleet = make_paced_fleet(seed);
            auto busy = paced_report(0.7);
            busy.committed_tokens = 25000;
            busy.running = 8;
            add_engine(fleet, "fast", busy);
            add_engine(fleet, "slow", paced_report(1.7));
            return fleet;
        };
        CPPUNIT_ASSERT_EQUAL(100, count_choices(make, long_stream())["fast"]);
        CPPUNIT_ASSERT_EQUAL(100, count_choices(make, short_stream())["slow"]);
        auto const distant = [](std::uint64_t seed) {
            auto fleet = make_paced_fleet(seed);
            add_engine(fleet, "slow", paced_report(1.7));
            fleet.update_target(engine_record("fast", "south-a"), fleet_start);
            fleet.update_report("fast:1", paced_report(0.7), fleet_start);
            return fleet;
        };
        CPPUNIT_ASSERT_EQUAL(100, count_choices(distant, long_stream())["fast"]);
    }

    // Guards against refusing or queueing a stream that a slow engine could run.
    void long_streams_use_slow_engines_if_no_other_has_room() {
        auto const make = [](std::uint64_t seed) {
            auto fleet = make_paced_fleet(seed);
            auto full = paced_report(0.7);
            full.committed_tokens = full.total_tokens;
            add_engine(fleet, "fast", full);
            add_engine(fleet, "slow", paced_report(1.7));
            add_engine(fleet, "slower", paced_report(2.2));
            return fleet;
        };
        CPPUNIT_ASSERT_EQUAL(100, count_choices(make, long_stream())["slow"]);
    }

    // Guards against a decision that changes although the settings do not ask for it, or the service states no pace.
    void nothing_changes_while_paces_are_not_followed() {
        for (bool const follow : {false, true}) {
            auto const make = [&](std::uint64_t seed, bool paced) {
                auto fleet = make_fleet(seed);
                fleet.configure_overload({0ms, follow});
                if (!follow)
                    fleet.on_pace_stated("writer");
                auto busy = paced_report(paced ? 0.7 : 0);
                busy.committed_tokens = 3400;
                add_engine(fleet, "fast", busy);
                add_engine(fleet, "slow", paced_report(paced ? 1.7 : 0, paced ? 4 : 0));
                return fleet;
            };
            auto const with = count_choices([&](auto seed) { return make(seed, true); }, long_stream());
            auto const without = count_choices([&](auto seed) { return make(seed, false); }, long_stream());
            CPPUNIT_ASSERT(with == without);
        }
    }

    // Guards against a stream that is moved to an engine with pause risk next to one without, and against a copy that
    // takes twice as long because a fast engine is elsewhere.
    void copies_avoid_pause_risk_within_their_failure_domain() {
        for (bool const fast_nearby : {false, true}) {
            for (std::uint64_t seed = 1; seed <= 20; ++seed) {
                auto fleet = make_paced_fleet(seed);
                add_engine(fleet, "source", paced_report(0.7));
                add_engine(fleet, "slow", paced_report(1.7));
                auto busy = paced_report(0.7);
                busy.committed_tokens = 25000;
                fleet.update_target(engine_record("fast", fast_nearby ? "north-a" : "north-b"), fleet_start);
                fleet.update_report("fast:1", busy, fleet_start);
                copy_request copy;
                copy.request = long_stream();
                copy.source = "source";
                copy.tokens = 3500;
                auto const chosen = fleet.choose_copy_holder(copy, fleet_start);
                CPPUNIT_ASSERT_EQUAL(std::string{fast_nearby ? "fast" : "slow"}, chosen.target);
            }
        }
    }

    // Guards against plain targets that are judged by one process's calls alone, or by a pace that is past.
    void plain_targets() {
        struct row {
            char const* name;
            stated_load first;
            stated_load second;
            std::uint32_t open_at_first;
            char const* expected;
        };
        std::vector<row> const table{
            {"queue of other processes", {6, 9, 6, 1.0}, {1, 0, 6, 1.0}, 0, "second"},
            {"slow phase", {0, 0, 6, 2.5}, {0, 0, 6, 1.0}, 0, "second"},
            {"own calls that the statement does not include", {0, 0, 6, 1.0}, {1, 0, 6, 1.0}, 5, "second"},
            {"fewer slots", {2, 0, 3, 1.0}, {2, 0, 12, 1.0}, 0, "second"},
            {"slow but idle", {0, 0, 6, 2.5}, {6, 6, 6, 1.0}, 0, "first"},
        };
        for_each_row(table, [](row const& tested) {
            auto const make = [&](std::uint64_t seed) {
                auto fleet = make_paced_fleet(seed);
                add_plain(fleet, "first");
                add_plain(fleet, "second");
                fleet.update_load("first", tested.first, fleet_start);
                fleet.update_load("second", tested.second, fleet_start);
                for (std::uint32_t count = 0; count < tested.open_at_first; ++count)
                    fleet.begin_request("first", std::nullopt, fleet_start);
                return fleet;
            };
            placement_request call;
            call.service = "orders";
            CPPUNIT_ASSERT_EQUAL(100, count_choices(make, call, fleet_start + 50ms)[tested.expected]);
        });
    }

    // Guards against a target that is avoided for as long as nothing is sent to it, because its statement stays.
    void stated_loads_expire() {
        auto const make = [](std::uint64_t seed) {
            auto fleet = make_paced_fleet(seed);
            add_plain(fleet, "first");
            add_plain(fleet, "second");
            for (base::duration passed = 0ms; passed < 3s; passed += 100ms) {
                fleet.update_load("first", {1, 0, 6, 1.0}, fleet_start + passed);
                fleet.update_load("second", {1, 0, 6, 1.0}, fleet_start + passed);
            }
            fleet.update_load("first", {6, 20, 6, 2.5}, fleet_start + 3s);
            return fleet;
        };
        placement_request call;
        call.service = "orders";
        CPPUNIT_ASSERT_EQUAL(0, count_choices(make, call, fleet_start + 3250ms)["first"]);
        auto const later = count_choices(make, call, fleet_start + 3700ms)["first"];
        CPPUNIT_ASSERT_MESSAGE(std::to_string(later), later > 30 && later < 70);
    }

    // Guards against an engine that states to be fast while its agent measures otherwise, and against figures that are
    // out of range.
    void a_target_that_lies_does_not_attract_streams() {
        for (double const stated : {0.1, 0.01, 20.0, 1000.0}) {
            auto fleet = make_paced_fleet(1);
            add_engine(fleet, "liar", paced_report(1.7));
            fleet.update_load("liar", {1, 0, 24, stated}, fleet_start + 10ms);
            auto const pace = fleet.pace_of(*fleet.find("liar"), fleet_start + 20ms);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7, pace->usual, 1e-6);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7, pace->present, 1e-6);
        }
        auto fleet = make_paced_fleet(1);
        add_engine(fleet, "true", paced_report(1.7, 1.7));
        fleet.update_load("true", {1, 0, 24, 4.25}, fleet_start + 10ms);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.25, fleet.pace_of(*fleet.find("true"), fleet_start + 20ms)->present, 1e-6);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7, fleet.pace_of(*fleet.find("true"), fleet_start + 400ms)->present, 1e-6);
    }

    // Guards against pauses of long streams at slow engines, and against short streams that pay for avoiding them: a
    // more urgent kind is served on time at most 5 in 100 less often than a less urgent one.
    void streams_over_engines_of_uneven_pace() {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            auto const with = simulate_paces({.seed = seed, .follow = true});
            auto const without = simulate_paces({.seed = seed, .follow = false});
            auto const message = "with " + with.text() + "; without " + without.text();
            CPPUNIT_ASSERT_MESSAGE(message, with.long_streams.finished > 100 && with.short_streams.finished > 100);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0, with.long_at_risk_with_room_elsewhere);
            CPPUNIT_ASSERT_MESSAGE(message, with.long_streams.paused < without.long_streams.paused);
            CPPUNIT_ASSERT_MESSAGE(message, with.short_streams.share() >= with.long_streams.share() - 0.05);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pace_placement_test);

} // namespace cyclamenledge::tests
