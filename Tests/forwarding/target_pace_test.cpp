#include "forwarding/engine_pace.h"
#include "forwarding/engine_step.h"
#include "forwarding/fleet_fixture.h"
#include "forwarding/target_pace.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

/// Speed of a machine that is 2.5 times slower for 600 ms in every 4 s, which is 15% of the time.
double noisy_pace(double usual, base::duration since_start) {
    return since_start % 4000ms >= 3400ms ? 2.5 * usual : usual;
}

/// Sends reports of an engine with the given number of running requests, each 50 ms. Returns the last report.
engine_report run_engine(engine_pace& pace, double machine, std::size_t running, base::time_point& now,
                         base::duration length) {
    auto report = idle_report();
    std::vector<double> events(running);
    for (std::size_t number = 0; number < running; ++number)
        events[number] = 0.1 * static_cast<double>(number);
    for (auto const end = now + length; now < end; now += 50ms) {
        report.generating.clear();
        for (std::size_t number = 0; number < running; ++number) {
            events[number] += 50 / (4 * machine * engine_step::length(static_cast<double>(running), 0));
            report.generating.push_back(
                {"r" + std::to_string(number), 3000, static_cast<std::uint32_t>(events[number])});
        }
        report.running = static_cast<std::uint32_t>(running);
        pace.observe_report(report, now);
    }
    return report;
}

} // namespace

class target_pace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_pace_test);
    CPPUNIT_TEST(limits);
    CPPUNIT_TEST(slow_phases_do_not_change_the_usual_pace);
    CPPUNIT_TEST(a_burst_of_answers_in_a_slow_phase_does_not_change_the_usual_pace);
    CPPUNIT_TEST(a_lasting_change_becomes_usual);
    CPPUNIT_TEST(measures_engines);
    CPPUNIT_TEST(ignores_statements_that_contradict_the_measurement);
    CPPUNIT_TEST(says_nothing_without_figures);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a wrong value that attracts or repels all requests.
    void limits() {
        struct row {
            char const* name;
            double stated;
            std::optional<double> kept;
        };
        std::vector<row> const table{{"usual", 1, 1},
                                     {"very fast", 0.01, 0.1},
                                     {"very slow", 99, 20},
                                     {"zero", 0, {}},
                                     {"negative", -1, {}},
                                     {"infinite", std::numeric_limits<double>::infinity(), {}},
                                     {"no number", std::numeric_limits<double>::quiet_NaN(), {}}};
        for_each_row(table, [](row const& tested) {
            target_pace pace;
            pace.observe(tested.stated, fleet_start);
            CPPUNIT_ASSERT(pace.usual() == tested.kept);
            CPPUNIT_ASSERT(pace.present(fleet_start) == tested.kept);
        });
    }

    // Guards against an engine that is taken for a slow one after each slow phase, and against a present pace that
    // outlasts its phase.
    void slow_phases_do_not_change_the_usual_pace() {
        struct row {
            char const* name;
            double usual;
            base::milliseconds interval;
        };
        std::vector<row> const table{{"fast, many values", 0.7, 5ms},
                                     {"slow, many values", 1.7, 5ms},
                                     {"fast, few values", 0.7, 170ms},
                                     {"slow, few values", 1.7, 170ms}};
        for_each_row(table, [](row const& tested) {
            target_pace pace;
            for (base::duration passed = 0ms; passed < 60s; passed += tested.interval) {
                auto const now = fleet_start + passed;
                auto const stated = noisy_pace(tested.usual, passed);
                pace.observe(stated, now);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(tested.usual, *pace.usual(), 1e-9);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(stated, *pace.present(now), 1e-9);
                CPPUNIT_ASSERT(!pace.present(now + target_pace::present_lifetime + 1ms));
                CPPUNIT_ASSERT(*pace.age(now + 7ms) == 7ms);
            }
        });
    }

    // Guards against counting answers instead of time: a burst of requests may meet a slow phase.
    void a_burst_of_answers_in_a_slow_phase_does_not_change_the_usual_pace() {
        target_pace pace;
        for (base::duration passed = 0ms; passed<4s; passed += noisy_pace(1, passed)> 1 ? 1ms : 300ms)
            pace.observe(noisy_pace(1, passed), fleet_start + passed);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, *pace.usual(), 1e-9);
    }

    // Guards against an engine that is judged by what it was before its machine changed.
    void a_lasting_change_becomes_usual() {
        target_pace pace;
        for (base::duration passed = 0ms; passed < 10s; passed += 50ms)
            pace.observe(passed < 5s ? 0.7 : 1.7, fleet_start + passed);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7, *pace.usual(), 1e-9);
    }

    // Guards against a measurement that depends on the load, or that does not notice a slow machine.
    void measures_engines() {
        struct row {
            char const* name;
            double machine;
            std::size_t running;
        };
        std::vector<row> const table{{"fast", 0.7, 8},        {"usual", 1, 8},       {"slow", 1.7, 8},
                                     {"slow phase", 4.25, 8}, {"one request", 1, 1}, {"full", 0.7, 24}};
        for_each_row(table, [](row const& tested) {
            engine_pace pace;
            auto now = fleet_start;
            run_engine(pace, tested.machine, tested.running, now, 3s);
            CPPUNIT_ASSERT(pace.usual().has_value());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1, *pace.usual() / tested.machine, 0.2);
        });
    }

    // Guards against a target that states a low pace to attract requests, and against refusing a statement because it
    // is older than the slow phase that is measured now.
    void ignores_statements_that_contradict_the_measurement() {
        struct row {
            char const* name;
            double machine;
            double stated;
            bool used;
        };
        std::vector<row> const table{{"true", 0.7, 0.7, true},
                                     {"coarse", 1, 1.6, true},
                                     {"in a slow phase", 1.7, 4.25, true},
                                     {"before a slow phase", 4.25, 1.7, true},
                                     {"far too low", 1.7, 0.1, false},
                                     {"far too high", 0.7, 20, false},
                                     {"zero", 1, 0, false},
                                     {"negative", 1, -1, false}};
        for_each_row(table, [](row const& tested) {
            engine_pace pace;
            auto now = fleet_start;
            auto const report = run_engine(pace, tested.machine, 8, now, 3s);
            for (int time = 0; time < 20; ++time)
                CPPUNIT_ASSERT_EQUAL(tested.used, pace.observe_stated(tested.stated, now + time * 100ms));
            auto const sent = pace.complete(report, now);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(1, sent.pace / (tested.used ? tested.stated : tested.machine), 0.2);
        });
    }

    // Guards against a pace that is made up for an engine without requests or with reports that list no events, and
    // against counting the time of missing reports.
    void says_nothing_without_figures() {
        engine_pace idle;
        auto now = fleet_start;
        auto const report = run_engine(idle, 1, 0, now, 3s);
        CPPUNIT_ASSERT(!idle.usual() && !idle.present(now) && !idle.followed());
        CPPUNIT_ASSERT_EQUAL(0.0, idle.complete(report, now).pace);
        CPPUNIT_ASSERT_EQUAL(0.0, idle.complete(report, now).pace_now);
        engine_pace without_events;
        for (auto next = now; next < now + 3s; next += 50ms) {
            auto listed = idle_report();
            listed.generating = {{"a", 3000, 0}, {"b", 3000, 0}};
            without_events.observe_report(listed, next);
        }
        CPPUNIT_ASSERT(!without_events.usual());
        engine_pace interrupted;
        run_engine(interrupted, 1, 8, now, 1s);
        now += 5s;
        run_engine(interrupted, 1, 8, now, 1s);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, *interrupted.usual(), 0.2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, *interrupted.present(now), 0.2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_pace_test);

} // namespace cyclamenledge::tests
