#include "forwarding/fleet_fixture.h"
#include "forwarding/load_spread/spread_simulation.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cyclamenledge::tests {

namespace {

template <class Change>
scenario with(char const* name, Change const& change) {
    scenario tested{name};
    change(tested);
    return tested;
}

std::vector<scenario> const scenarios{
    with("30 entries, reports 500 ms old", [](auto&) {}),
    with("100 entries", [](auto& tested) { tested.entries = 100; }),
    with("reports every 150 to 600 ms", [](auto& tested) { tested.report_age.reset(); }),
    with("paces",
         [](auto& tested) {
             tested.paces = {0.7, 0.7, 1.7};
         }),
    with("half of the reports missing", [](auto& tested) { tested.missing = 0.5; }),
    with("count too high", [](auto& tested) { tested.count_factor = 3; }),
    with("count too low", [](auto& tested) { tested.count_factor = 1.0 / 3; }),
    with("count unknown", [](auto& tested) { tested.count_factor = 0; }),
    with("entries restart", [](auto& tested) { tested.restarts = true; }),
    with("a target falls silent", [](auto& tested) { tested.falls_silent = true; }),
    with("agents refuse", [](auto& tested) { tested.agents_refuse = true; }),
};

measured simulate(scenario tested, bool spread) {
    tested.spread = spread;
    return spread_simulation{tested, 1}.run();
}

measured simulate_fresh_chooser(scenario tested) {
    tested.entries = 1;
    tested.report_age = 0ms;
    tested.missing = 0;
    tested.falls_silent = false;
    return simulate(tested, false);
}

std::string describe(measured const& result, measured const& reference) {
    return "deviation " + std::to_string(result.deviation) + ", reference " + std::to_string(reference.deviation);
}

} // namespace

/// The decision by itself, and what must hold beside the bounds on evenness.
class load_spread_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_spread_test);
    CPPUNIT_TEST(draws_in_proportion_to_the_room_below_the_level);
    CPPUNIT_TEST(plain_targets_get_requests_by_own_counts);
    CPPUNIT_TEST(load_is_more_even_without_more_messages);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against herds on the lowest load when reports are old, and against far targets while near ones have room.
    void draws_in_proportion_to_the_room_below_the_level() {
        struct row {
            char const* name;
            base::milliseconds age;
            std::optional<std::uint32_t> entries;
            std::vector<double> levels;
            std::vector<double> shares;
            bool last_is_far{false};
        };
        // The first placement of an entry counts as 4 a second: 8 arrivals of 10 entries in 200 ms, of 0.1 each.
        std::vector<row> const table{
            {"own count", 0ms, 1, {0.3, 0.2, 0.4}, {0, 1, 0}},
            {"old reports", 200ms, 10, {0.2, 0.4, 0.6}, {7.0 / 12, 4.0 / 12, 1.0 / 12}},
            {"more entries", 200ms, 20, {0.2, 0.4, 0.6}, {11.0 / 24, 8.0 / 24, 5.0 / 24}},
            {"target above the level", 200ms, 10, {0.2, 0.2, 0.85}, {0.5, 0.5, 0}},
            {"far target that fills as well", 200ms, 30, {0.2, 0.2, 0.85}, {0.5, 0.5, 0}, true},
            {"near targets loaded", 200ms, 10, {1, 1, 0.2}, {0, 0, 1}, true},
            {"count unknown", 200ms, std::nullopt, {0.2, 0.4, 0.6}, {5.0 / 9, 3.0 / 9, 1.0 / 9}},
        };
        for_each_row(table, [](row const& tested) {
            base::random_source random{1};
            std::vector<spread_candidate> candidates;
            for (auto const level : tested.levels)
                candidates.push_back({level, 0.1, tested.age, false});
            candidates.back().far = tested.last_is_far;
            std::vector<double> drawn(candidates.size());
            for (int count = 0; count < 20000; ++count)
                drawn.at(load_spread{}.pick(candidates, tested.entries, fleet_start, random)) += 1.0 / 20000;
            for (std::size_t index = 0; index < drawn.size(); ++index)
                CPPUNIT_ASSERT_DOUBLES_EQUAL(tested.shares[index], drawn[index], 0.02);
        });
    }

    // Guards against ignoring an entry's own open calls at targets that nothing reports on.
    void plain_targets_get_requests_by_own_counts() {
        auto fleet = make_fleet();
        fleet.configure_overload({0ms, true});
        fleet.on_pace_stated("orders");
        for (auto const* id : {"p1", "p2", "p3"}) {
            auto record = engine_record(id, "north-a");
            record.service = "orders";
            record.slots = 6;
            fleet.update_target(record, fleet_start);
        }
        fleet.observe_entries(30, fleet_start);
        placement_request request;
        request.service = "orders";
        for (int count = 0; count < 9; ++count) {
            auto const now = fleet_start + count * 100ms;
            fleet.begin_request(fleet.choose(request, now).target, std::nullopt, now);
        }
        for (auto const& [id, target] : fleet.targets())
            CPPUNIT_ASSERT_EQUAL(3U, target.open_requests);
    }

    // Guards against a spread that is worse than the lowest score with jitter, or that costs more refusals by agents.
    void load_is_more_even_without_more_messages() {
        for_each_row(scenarios, [](scenario const& tested) {
            auto const before = simulate(tested, false);
            auto const after = simulate(tested, true);
            CPPUNIT_ASSERT_MESSAGE(describe(after, before), after.deviation < before.deviation);
            CPPUNIT_ASSERT(after.messages_per_second <= before.messages_per_second);
        });
    }
};

/// Bound 4 of the design page, evenness.
class even_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(even_load_test);
    CPPUNIT_TEST(deviation_is_a_quarter_of_that_of_the_lowest_score);
    CPPUNIT_TEST(deviation_is_near_that_of_a_fresh_chooser);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against entries that choose the same targets from old reports.
    void deviation_is_a_quarter_of_that_of_the_lowest_score() {
        for_each_row(scenarios, [](scenario const& tested) {
            auto const before = simulate(tested, false);
            auto const after = simulate(tested, true);
            CPPUNIT_ASSERT_MESSAGE(describe(after, before), after.deviation <= before.deviation / 4);
        });
    }

    // Guards against a spread that ignores what the reports say.
    void deviation_is_near_that_of_a_fresh_chooser() {
        for_each_row(scenarios, [](scenario const& tested) {
            auto const fresh = simulate_fresh_chooser(tested);
            auto const after = simulate(tested, true);
            CPPUNIT_ASSERT_MESSAGE(describe(after, fresh), after.deviation <= 1.5 * fresh.deviation);
        });
    }
};

/// Bound 4 of the design page, idle targets.
class idle_target_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(idle_target_test);
    CPPUNIT_TEST(no_target_idles_while_another_queues);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against idle targets that no entry chooses while prompts wait elsewhere.
    void no_target_idles_while_another_queues() {
        for_each_row(scenarios, [](scenario const& tested) {
            auto const idle = simulate(tested, true).longest_idle;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(idle.count()) + " ms", idle <= 200ms);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_spread_test);
CPPUNIT_TEST_SUITE_REGISTRATION(even_load_test);
CPPUNIT_TEST_SUITE_REGISTRATION(idle_target_test);

} // namespace cyclamenledge::tests
