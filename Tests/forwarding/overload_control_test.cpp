#include "forwarding/fleet_fixture.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

route_set_pointer routes_with(request_kind kind, base::milliseconds objective) {
    service engines;
    engines.name = "writer";
    engines.engine = engine_capacity{24, 34000, true, true, 4};
    route streams;
    streams.services = {{"writer", 1}};
    streams.kind = kind;
    streams.latency_objective = objective;
    return std::make_shared<route_set const>(1, std::vector<route>{streams}, std::vector<service>{engines},
                                             std::vector<organisation>{}, input_limits{});
}

fleet_view controlled_fleet(std::vector<std::string> const& engines) {
    auto fleet = make_fleet();
    fleet.configure_overload({3s, false});
    fleet.apply_routes(routes_with(request_kind::stream, 4s));
    for (auto const& id : engines)
        fleet.update_target(engine_record(id, "north-a"), fleet_start - 10s);
    return fleet;
}

engine_report full_report(std::optional<base::milliseconds> room_in) {
    auto report = idle_report();
    report.used_tokens = report.committed_tokens = report.total_tokens;
    report.running = 9;
    report.room_in = room_in;
    return report;
}

} // namespace

class overload_control_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(overload_control_test);
    CPPUNIT_TEST(settings_and_configuration_switch_services_on);
    CPPUNIT_TEST(refuses_on_arrival_only_on_certain_knowledge);
    CPPUNIT_TEST(waits_where_room_comes_first);
    CPPUNIT_TEST(failing_engines_are_avoided_where_the_service_is_controlled);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against deployments that are served differently although nothing in their settings asks for it.
    void settings_and_configuration_switch_services_on() {
        struct row {
            char const* name;
            overload_settings settings;
            request_kind kind;
            base::milliseconds objective;
            bool states_pace;
            bool expected;
        };
        std::vector<row> const table{
            {"off", {}, request_kind::stream, 4s, true, false},
            {"patient callers", {3s, false}, request_kind::stream, 3s, false, true},
            {"resumable streams", {3s, false}, request_kind::resumable_stream, 3s, false, true},
            {"impatient callers", {3s, false}, request_kind::stream, 2999ms, true, false},
            {"plain calls", {3s, false}, request_kind::idempotent, 4s, false, false},
            {"stated pace", {0s, true}, request_kind::stream, 1s, true, true},
            {"no stated pace", {0s, true}, request_kind::stream, 4s, false, false},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_fleet();
            fleet.configure_overload(tested.settings);
            fleet.apply_routes(routes_with(tested.kind, tested.objective));
            if (tested.states_pace)
                fleet.on_pace_stated("writer");
            CPPUNIT_ASSERT_EQUAL(tested.expected, fleet.under_overload_control("writer"));
        });
    }

    /// Guards against requests that are held until their callers leave, and against refusals while an engine may have
    /// room: in a burst every agent reports room only after the request is useless.
    void refuses_on_arrival_only_on_certain_knowledge() {
        struct row {
            char const* name;
            std::vector<std::optional<base::milliseconds>> room_in;
            base::milliseconds report_age;
            base::milliseconds useful_for;
            arrival_verdict expected;
        };
        using enum arrival_verdict;
        std::vector<row> const table{
            {"room in time", {20s, 3s}, 0ms, 5s, accept},
            {"room too late everywhere", {20s, 6s}, 0ms, 5s, refuse},
            {"one agent does not know", {20s, std::nullopt}, 0ms, 5s, accept},
            {"the reports are old", {20s, 20s}, 1500ms, 5s, accept},
            {"time has passed since the report", {5500ms}, 1s, 5s, accept},
            {"no engine", {}, 0ms, 5s, accept},
        };
        for_each_row(table, [](row const& tested) {
            std::vector<std::string> names;
            for (std::size_t index = 0; index < tested.room_in.size(); ++index)
                names.push_back("e" + std::to_string(index));
            auto fleet = controlled_fleet(names);
            for (std::size_t index = 0; index < names.size(); ++index)
                fleet.update_report(names[index] + ":1", full_report(tested.room_in[index]), fleet_start);
            auto const outlook = fleet.find_room_outlook(generation(), fleet_start + tested.report_age);
            CPPUNIT_ASSERT(tested.expected == decide_arrival(outlook, tested.useful_for));
        });
    }

    /// Guards against requests that queue at one engine while another has room sooner.
    void waits_where_room_comes_first() {
        auto fleet = controlled_fleet({"e0", "e1", "e2"});
        fleet.update_report("e0:1", full_report(3s), fleet_start);
        fleet.update_report("e1:1", full_report(500ms), fleet_start);
        fleet.update_report("e2:1", full_report(2s), fleet_start);
        CPPUNIT_ASSERT_EQUAL(std::string{"e1"}, fleet.choose_queue(generation(), fleet_start).value_or(""));
        auto leaving = full_report(100ms);
        leaving.leaving = true;
        fleet.update_report("e1:1", leaving, fleet_start);
        CPPUNIT_ASSERT_EQUAL(std::string{"e2"}, fleet.choose_queue(generation(), fleet_start).value_or(""));
        CPPUNIT_ASSERT(!fleet.choose_queue(generation(), fleet_start + fleet_view::report_lifetime));
    }

    /// Guards against an engine that answers each request with an error at once: it looks idle, so that it gets most
    /// requests until each entry has learned of it.
    void failing_engines_are_avoided_where_the_service_is_controlled() {
        for (bool const controlled : {true, false}) {
            auto fleet = controlled_fleet({"e0", "e1"});
            if (!controlled)
                fleet.apply_routes(fleet_routes());
            auto failing = idle_report();
            failing.failing = true;
            auto busy = idle_report();
            busy.committed_tokens = 20000;
            fleet.update_report("e0:1", failing, fleet_start);
            fleet.update_report("e1:1", busy, fleet_start);
            auto const chosen = fleet.choose(generation(), fleet_start);
            CPPUNIT_ASSERT_EQUAL(std::string{controlled ? "e1" : "e0"}, chosen.target);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_control_test);

} // namespace cyclamenledge::tests
