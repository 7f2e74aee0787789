#include "forwarding/fleet_fixture.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
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

/// A generation of a class whose callers can wait.
placement_request deferrable_generation() {
    auto request = generation();
    request.urgent = urgency::of_route(1);
    return request;
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
    CPPUNIT_TEST(waits_where_room_comes_first_but_not_all_at_one_engine);
    CPPUNIT_TEST(waits_for_full_engines_rather_than_failing_at_another);
    CPPUNIT_TEST(deferrable_requests_go_behind_those_that_wait);
    CPPUNIT_TEST(waits_as_long_as_the_caller_can_use_it);
    CPPUNIT_TEST(routes_order_the_requests_of_an_organisation);
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
            auto const at = fleet_start + tested.report_age;
            auto const outlook = fleet.find_room_outlook(deferrable_generation(), at);
            CPPUNIT_ASSERT(tested.expected == decide_arrival(outlook, tested.useful_for));
            // What agents report is the room of classes that wait. Urgent requests get room before them.
            CPPUNIT_ASSERT(decide_arrival(fleet.find_room_outlook(generation(), at), tested.useful_for) == accept);
        });
    }

    /// Guards against requests that queue at one engine while another has room sooner, and against entries that all
    /// queue at the same engine because their reports are the same.
    void waits_where_room_comes_first_but_not_all_at_one_engine() {
        auto fleet = controlled_fleet({"e0", "e1", "e2"});
        fleet.update_report("e0:1", full_report(3s), fleet_start);
        fleet.update_report("e1:1", full_report(500ms), fleet_start);
        fleet.update_report("e2:1", full_report(2s), fleet_start);
        constexpr int draws = 1000;
        auto const count = [&] {
            std::map<std::string, int> chosen;
            for (int draw = 0; draw < draws; ++draw)
                ++chosen[fleet.choose_queue(deferrable_generation(), fleet_start).value_or(queue_choice{}).target];
            return chosen;
        };
        auto chosen = count();
        CPPUNIT_ASSERT(chosen["e1"] > chosen["e2"] && chosen["e2"] > chosen["e0"]);
        CPPUNIT_ASSERT(chosen["e1"] > draws / 2 && chosen["e2"] > 0 && chosen["e0"] < draws / 10);
        auto leaving = full_report(100ms);
        leaving.leaving = true;
        fleet.update_report("e1:1", leaving, fleet_start);
        chosen = count();
        CPPUNIT_ASSERT(chosen["e1"] == 0 && chosen["e2"] > chosen["e0"] && chosen["e2"] + chosen["e0"] == draws);
        CPPUNIT_ASSERT(!fleet.choose_queue(deferrable_generation(), fleet_start + fleet_view::report_lifetime));
    }

    /// Guards against a failing engine that attracts the requests of a burst, because it alone has room: they wait for
    /// the others, as long as there are any.
    void waits_for_full_engines_rather_than_failing_at_another() {
        auto fleet = controlled_fleet({"e0", "e1"});
        auto failing = idle_report();
        failing.failing = true;
        fleet.update_report("e0:1", failing, fleet_start);
        fleet.update_report("e1:1", full_report(2s), fleet_start);
        for (auto const& request : {generation(), deferrable_generation()}) {
            CPPUNIT_ASSERT(fleet.choose(request, fleet_start).kind == placement_kind::wait);
            CPPUNIT_ASSERT_EQUAL(std::string{"e1"},
                                 fleet.choose_queue(request, fleet_start).value_or(queue_choice{}).target);
        }
        auto leaving = full_report(2s);
        leaving.leaving = true;
        fleet.update_report("e1:1", leaving, fleet_start);
        CPPUNIT_ASSERT_EQUAL(std::string{"e0"}, fleet.choose(generation(), fleet_start).target);
    }

    /// Guards against newcomers that take the room of requests which wait at the engine's agent.
    void deferrable_requests_go_behind_those_that_wait() {
        auto fleet = controlled_fleet({"e0"});
        auto waiting = idle_report();
        waiting.waiting = 1;
        fleet.update_report("e0:1", waiting, fleet_start);
        CPPUNIT_ASSERT(fleet.choose(deferrable_generation(), fleet_start).kind == placement_kind::wait);
        CPPUNIT_ASSERT(fleet.choose(generation(), fleet_start).kind == placement_kind::placed);
    }

    /// Guards against requests that are held although they cannot be served on time, and against late ones that are
    /// refused while room is about to come.
    void waits_as_long_as_the_caller_can_use_it() {
        struct row {
            char const* name;
            base::milliseconds on_time;
            base::milliseconds give_up;
            base::milliseconds useful;
        };
        std::vector<row> const table{
            {"on time for long", 3300ms, 15300ms, 3300ms},
            {"on time for a moment", 200ms, 12s, 500ms},
            {"late", -2s, 10s, 500ms},
            {"late, and the caller leaves soon", -9s, 300ms, 300ms},
            {"the caller has left", -10s, -1s, 0ms},
            {"the caller leaves before it is late", 5s, 1s, 1s},
        };
        for_each_row(table, [](row const& tested) {
            request_limits const limits{fleet_start + tested.on_time, fleet_start + tested.give_up};
            CPPUNIT_ASSERT(limits.useful_wait(fleet_start) == tested.useful);
        });
    }

    /// Guards against a priority of the organisation that makes all its requests equally urgent.
    void routes_order_the_requests_of_an_organisation() {
        struct row {
            char const* name;
            urgency first;
            urgency second;
        };
        std::vector<row> const table{
            {"another organisation goes first", {0, 2}, {1, 0}},
            {"same priority of the organisation", {1, 0}, {1, 2}},
            {"organisations without a priority", urgency::of_route(0), urgency::of_route(1)},
        };
        for_each_row(table, [](row const& tested) {
            CPPUNIT_ASSERT(tested.first.rank() < tested.second.rank());
            CPPUNIT_ASSERT(tested.first.engine_level() < tested.second.engine_level());
        });
        CPPUNIT_ASSERT(!urgency({1, 0}).deferrable() && urgency({0, 1}).deferrable());
        CPPUNIT_ASSERT_EQUAL(9U, urgency::of_route(100).engine_level());
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
