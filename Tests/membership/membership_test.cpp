#include "base/random.h"
#include "membership/drain_controller.h"
#include "membership/link_monitor.h"
#include "membership/member_table.h"
#include "support/catalogue_fixture.h"
#include "support/property.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>

namespace cyclamenledge::tests {

using namespace membership;
using base::milliseconds;
using base::seconds;

namespace {

/// Faults of a simulated link between two processes, in virtual milliseconds.
struct link_scenario {
    char const* name{nullptr};
    int direction_cut_at[2]{1'000'000, 1'000'000};
    int pause_from{0};
    int pause_to{0};
    link_switches switches{};
};

/// When each side first suspects the link, or -1.
std::array<int, 2> first_suspicions(link_scenario const& scenario) {
    struct message {
        int to;
        base::time_point stamp;
        std::optional<base::time_point> echo;
    };
    auto const at = [](int when) { return base::time_point{milliseconds{100'000 + when}}; };
    std::array<link_monitor, 2> sides{link_monitor{at(0), scenario.switches}, link_monitor{at(0), scenario.switches}};
    std::array<std::optional<base::time_point>, 2> newest_stamp;
    std::array<int, 2> suspected{-1, -1};
    std::multimap<int, message> wire;
    for (int when = 0; when < 20'000; when += 10) {
        auto const paused = [&](int side) {
            return side == 0 && when >= scenario.pause_from && when < scenario.pause_to;
        };
        for (int side = 0; side < 2; ++side) {
            if (paused(side) || when % tick_interval.count() != 0)
                continue;
            auto const step = sides[side].tick(at(when));
            if (step.open_connection && suspected[side] < 0)
                suspected[side] = when;
            if (step.send_heartbeat && when < scenario.direction_cut_at[side])
                wire.emplace(when + 20, message{1 - side, at(when), newest_stamp[side]});
        }
        for (auto next = wire.begin(); next != wire.end() && next->first <= when;) {
            auto const received = next->second;
            if (paused(received.to)) {
                ++next;
                continue;
            }
            newest_stamp[received.to] = received.stamp;
            sides[received.to].on_echo(received.echo, at(when));
            next = wire.erase(next);
        }
    }
    return suspected;
}

/// Two regions with two failure domains and four targets.
catalogue::catalogue_pointer make_catalogue(catalogue::service_state target, catalogue::service_state domain) {
    catalogue_fixture fixture;
    fixture.add(catalogue::failure_domain{"suva-a", "Viti Levu", domain});
    fixture.add(catalogue::failure_domain{"labasa-a", "Vanua Levu"});
    for (char const* name : {"t0", "t1", "t2", "t3"}) {
        catalogue::target item;
        item.name = name;
        item.service = "wording";
        item.failure_domain = name[1] == '0' ? "suva-a" : "labasa-a";
        item.vm = std::string{"vm-"} + name;
        item.state = name[1] == '0' ? target : catalogue::service_state::in_service;
        fixture.add(item);
    }
    fixture.add(catalogue::entry{"e0", "labasa-a", "vm-e0", ""});
    return fixture.build();
}

constexpr auto in_service = catalogue::service_state::in_service;
constexpr auto out_of_service = catalogue::service_state::out_of_service;

base::time_point at(int second) {
    return base::time_point{seconds{1000 + second}};
}

base::wall_time wall(int second) {
    return base::wall_time{seconds{1'000'000 + second}};
}

std::vector<vm_record> vm_list(bool t0_present, bool t0_leaving = false) {
    std::vector<vm_record> list{{"vm-t1"}, {"vm-t2"}, {"vm-t3"}, {"vm-e0"}};
    if (t0_present)
        list.push_back({"vm-t0", t0_leaving});
    return list;
}

} // namespace

class membership_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(failed_links_are_detected_in_both_directions);
    CPPUNIT_TEST(eligibility_follows_the_precedence);
    CPPUNIT_TEST(out_of_service_target_is_never_eligible);
    CPPUNIT_TEST(vm_is_absent_only_after_the_lag);
    CPPUNIT_TEST(partition_differs_from_single_failures);
    CPPUNIT_TEST(drain_aborts_no_request);
    CPPUNIT_TEST(drain_finishes_short_requests_that_come_late);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a failed direction of a link that is not detected, and against a process that suspects its peer
    // because the process itself was paused. The rows with switches are mutation checks: with the mechanism disabled,
    // the same scenario gives the wrong result.
    void failed_links_are_detected_in_both_directions() {
        struct row : link_scenario {
            /// The largest time until each side suspects the link; -1 for never.
            std::array<int, 2> found_within{-1, -1};
        };
        constexpr int not_cut = 1'000'000;
        auto const limit = 4300;
        std::array<row, 7> const rows{{
            {{"healthy"}, {-1, -1}},
            {{"both directions", {5000, 5000}}, {limit, limit}},
            {{"first to second", {5000, not_cut}}, {limit, limit}},
            {{"second to first", {not_cut, 5000}}, {limit, limit}},
            {{"no echo check", {5000, not_cut}, 0, 0, {.check_echo = false}}, {-1, limit}},
            {{"first is paused", {not_cut, not_cut}, 5000, 15'000}, {-1, limit}},
            {{"no pause check", {not_cut, not_cut}, 5000, 15'000, {.detect_own_pause = false}}, {10'500, limit}},
        }};
        for_each_row(rows, [](row const& current) {
            auto const suspected = first_suspicions(current);
            for (int side = 0; side < 2; ++side) {
                CPPUNIT_ASSERT_EQUAL(current.found_within[side] >= 0, suspected[side] >= 0);
                CPPUNIT_ASSERT(suspected[side] <= 5000 + current.found_within[side]);
            }
        });
    }

    // Guards against a wrong order of precedence between the catalogue, the VM list and the observed link state.
    void eligibility_follows_the_precedence() {
        struct row {
            char const* name{nullptr};
            catalogue::service_state target{in_service};
            catalogue::service_state domain{in_service};
            bool listed{true};
            bool leaving{false};
            bool announced{false};
            link_condition link{link_condition::healthy};
            target_eligibility expected{target_eligibility::eligible};
        };
        using enum target_eligibility;
        std::array<row, 9> const rows{{
            {"eligible"},
            {.name = "target out of service", .target = out_of_service, .expected = target_out_of_service},
            {.name = "domain out of service", .domain = out_of_service, .expected = failure_domain_out_of_service},
            {.name = "leaving", .leaving = true, .expected = vm_leaving},
            {.name = "announced", .announced = true, .expected = announced_leaving},
            {.name = "healthy link overrides the VM list", .listed = false, .expected = eligible},
            {.name = "gone", .listed = false, .link = link_condition::suspect, .expected = vm_gone},
            {.name = "suspect link", .link = link_condition::suspect, .expected = link_suspect},
            {.name = "no link", .link = link_condition::none, .expected = not_connected},
        }};
        for_each_row(rows, [](row const& current) {
            member_table table{"Vanua Levu"};
            table.on_catalogue(make_catalogue(current.target, current.domain), at(0), wall(0));
            table.on_vm_list(vm_list(current.listed, current.leaving), at(0), wall(0));
            table.on_link("t0", current.link, at(0));
            table.on_announced_leaving("t0", current.announced);
            CPPUNIT_ASSERT_EQUAL(name_of(current.expected), name_of(table.eligibility_of("t0", at(31))));
        });
    }

    // Guards against new work for a target that is out of service or leaving, for any order of events. Mutation check:
    // with a mechanism disabled, some order makes the target eligible.
    void out_of_service_target_is_never_eligible() {
        auto const holds = [](std::uint64_t seed, member_switches switches) {
            base::random_source random{seed};
            member_table table{"Vanua Levu", default_vm_list_lag, switches};
            bool out = false;
            bool leaving = false;
            for (int step = 0; step < 60; ++step) {
                auto const target = random.below(3) == 0 ? out_of_service : in_service;
                auto const domain = random.below(3) == 0 ? out_of_service : in_service;
                switch (random.below(3)) {
                case 0:
                    table.on_catalogue(make_catalogue(target, domain), at(step), wall(step));
                    out = target == out_of_service || domain == out_of_service;
                    break;
                case 1: {
                    auto const present = random.below(2) == 0;
                    auto const is_leaving = random.below(2) == 0;
                    table.on_vm_list(vm_list(present, is_leaving), at(step), wall(step));
                    leaving = present ? is_leaving : leaving;
                    break;
                }
                default:
                    table.on_link("t0", random.below(2) == 0 ? link_condition::healthy : link_condition::suspect,
                                  at(step));
                }
                auto const eligible = table.eligible_targets("wording", at(step));
                if (!eligible.empty() && (out || leaving))
                    return false;
            }
            return true;
        };
        check_property("never eligible", [&](std::uint64_t seed) { RC_ASSERT(holds(seed, {})); });
        bool service_state_needed = false;
        bool leaving_needed = false;
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            service_state_needed |= !holds(seed, {.check_service_state = false});
            leaving_needed |= !holds(seed, {.check_leaving = false});
        }
        CPPUNIT_ASSERT(service_state_needed && leaving_needed);
    }

    // Guards against keys that count as sealed because a lagging or truncated VM list doesn't contain a live VM.
    void vm_is_absent_only_after_the_lag() {
        member_table table{"Vanua Levu"};
        table.on_catalogue(make_catalogue(in_service, in_service), at(0), wall(0));
        CPPUNIT_ASSERT(!table.absent_since("t0", at(1000)));
        CPPUNIT_ASSERT(table.on_vm_list(vm_list(true), at(0), wall(0)));
        CPPUNIT_ASSERT(!table.on_vm_list({{"vm-t1"}}, at(1), wall(1)));
        CPPUNIT_ASSERT(!table.on_vm_list({}, at(1), wall(1)));
        CPPUNIT_ASSERT(table.on_vm_list(vm_list(false), at(2), wall(2)));
        CPPUNIT_ASSERT(table.on_vm_list(vm_list(false), at(9), wall(9)));
        CPPUNIT_ASSERT(!table.absent_since("t0", at(32)));
        CPPUNIT_ASSERT(table.absent_since("t0", at(33)) == wall(2));
        CPPUNIT_ASSERT(table.on_vm_list(vm_list(true), at(40), wall(40)));
        CPPUNIT_ASSERT(!table.absent_since("t0", at(80)));
    }

    // Guards against ejecting a whole region during a partition, and against reporting a partition when peers fail one
    // after another.
    void partition_differs_from_single_failures() {
        struct row {
            char const* name{nullptr};
            std::vector<int> unresponsive_from;
            bool expected{false};
        };
        std::array<row, 3> const rows{{{"one of three peers", {1}},
                                       {"two of three peers", {1, 5}, true},
                                       {"two of three peers, 6 s apart", {1, 7}}}};
        for_each_row(rows, [](row const& current) {
            member_table table{"Viti Levu"};
            table.on_catalogue(make_catalogue(in_service, in_service), at(0), wall(0));
            std::array<char const*, 3> const peers{"t1", "t2", "t3"};
            for (auto const* peer : peers)
                table.on_link(peer, link_condition::healthy, at(0));
            for (std::size_t index = 0; index < current.unresponsive_from.size(); ++index)
                table.on_link(peers[index], link_condition::suspect, at(current.unresponsive_from[index]));
            CPPUNIT_ASSERT_EQUAL(current.expected, table.region_partitioned("Vanua Levu"));
            for (auto const* peer : peers)
                table.on_link(peer, link_condition::healthy, at(20));
            CPPUNIT_ASSERT(!table.region_partitioned("Vanua Levu"));
            CPPUNIT_ASSERT(table.eligibility_of("t1", at(20)) == target_eligibility::eligible);
        });
    }

    // Guards against ending the process while it serves a request that came over a kept connection late in the drain.
    void drain_finishes_short_requests_that_come_late() {
        drain_controller drain;
        CPPUNIT_ASSERT(drain.begin_request(at(0)));
        drain.start_drain(at(0));
        // A kept connection carries another request after the balancer has turned away.
        CPPUNIT_ASSERT(!drain.begin_request(at(6)));
        CPPUNIT_ASSERT(drain.begin_short_request(at(6)));
        drain.end_request();
        CPPUNIT_ASSERT(drain.state(at(7)) == drain_state::refusing);
        drain.end_request();
        CPPUNIT_ASSERT(drain.state(at(7)) == drain_state::drained);
        CPPUNIT_ASSERT(!drain.begin_short_request(at(7)));
    }

    // Guards against a graceful shutdown that aborts an accepted request, or that refuses requests before the load
    // balancer has stopped using the process.
    void drain_aborts_no_request() {
        check_property("drain", [](std::uint64_t seed) {
            base::random_source random{seed};
            drain_controller drain;
            std::uint64_t open = 0;
            auto const stop_at = static_cast<int>(random.below(20));
            for (int second = 0; second < 60; ++second) {
                if (second >= stop_at)
                    drain.start_drain(at(second));
                auto const accepted = random.below(2) == 0 && drain.begin_request(at(second));
                RC_ASSERT(!accepted || second < stop_at + 5);
                open += accepted ? 1 : 0;
                if (open > 0 && random.below(3) == 0) {
                    drain.end_request();
                    --open;
                }
                RC_ASSERT(drain.open_requests() == open);
                RC_ASSERT(drain.ready(at(second)) == (second < stop_at));
                auto const drained = drain.state(at(second)) == drain_state::drained;
                RC_ASSERT(drained == (open == 0 && second >= stop_at + 5));
            }
        });
        drain_controller limited{{.drain_limit = seconds{9}}};
        limited.begin_request(at(0));
        CPPUNIT_ASSERT(!limited.aborts_at());
        limited.start_drain(at(0));
        limited.start_drain(at(3));
        CPPUNIT_ASSERT(limited.aborts_at() == at(9));
        CPPUNIT_ASSERT(!drain_controller{}.aborts_at());
        CPPUNIT_ASSERT(limited.next_change(at(6)) == at(9));
        CPPUNIT_ASSERT(limited.state(at(9)) == drain_state::drained);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(membership_test);

} // namespace cyclamenledge::tests
