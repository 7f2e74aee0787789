#include "base/random.h"
#include "forwarding/fleet_fixture.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

/// Model of an engine that reads one prompt at a time.
struct reading_engine {
    std::deque<base::time_point> reads_end;
    std::uint32_t prompts(base::time_point now) const {
        return static_cast<std::uint32_t>(std::ranges::count_if(reads_end, [&](auto end) { return end > now; }));
    }
    base::time_point read(base::time_point now) {
        auto const begin = reads_end.empty() ? now : std::max(now, reads_end.back());
        reads_end.push_back(begin + 400ms);
        return reads_end.back();
    }
};

/// Simulates a burst of prompts at sixteen entries with eight engines, whose reports are 150 ms apart. Requests that
/// find no room are retried with each report. Returns the share of first events within 1.8 s.
double share_on_time(std::uint64_t seed, bool with_reports) {
    base::random_source random{seed};
    std::vector<fleet_view> entries;
    std::map<std::string, reading_engine> engines;
    for (std::uint64_t entry = 0; entry < 16; ++entry)
        entries.push_back(make_fleet(seed + entry));
    for (int engine = 0; engine < 8; ++engine) {
        auto const id = "e" + std::to_string(engine);
        engines[id];
        for (auto& entry : entries)
            entry.update_target(engine_record(id, "north-a"), fleet_start);
    }
    struct arrival {
        base::time_point at;
        std::size_t entry;
    };
    std::deque<arrival> waiting;
    int served = 0;
    int on_time = 0;
    // 16 prompts per second for 8 engines that can read 20 per second together.
    for (auto now = fleet_start; now < fleet_start + 20s; now += 10ms) {
        if ((now - fleet_start) % 150ms == 0ms) {
            for (auto const& [id, engine] : engines) {
                auto report = idle_report();
                auto const prompts = with_reports ? engine.prompts(now) : 0;
                report.reading = std::min(prompts, 1U);
                report.queued = prompts - report.reading;
                report.running = report.reading;
                // The value that an agent computes: on average, half of the prompt that is being read is unread.
                report.unread_tokens = prompts == 0 ? 0 : 3000 * prompts - 1500;
                for (auto& entry : entries)
                    entry.update_report(id + ":1", report, now);
            }
        }
        if (now < fleet_start + 15s && random.unit() < 0.16)
            waiting.push_back({now, random.below(entries.size())});
        for (auto count = waiting.size(); count > 0; --count) {
            auto const next = waiting.front();
            waiting.pop_front();
            auto request = generation();
            request.accept_overcommit = now - next.at > 1100ms;
            auto const chosen = entries[next.entry].choose(request, now);
            if (chosen.kind != placement_kind::placed) {
                waiting.push_back(next);
                continue;
            }
            entries[next.entry].begin_request(chosen.target, request.size, now);
            ++served;
            if (engines[chosen.target].read(now) - next.at <= 1800ms)
                ++on_time;
        }
    }
    CPPUNIT_ASSERT(served > 150);
    return static_cast<double>(on_time) / served;
}

} // namespace

class placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(first_events_stay_on_time_in_a_burst);
    CPPUNIT_TEST(chooses_only_targets_that_may_run_the_request);
    CPPUNIT_TEST(waits_for_room_unless_late);
    CPPUNIT_TEST(new_engines_get_no_prompts_before_their_first_report);
    CPPUNIT_TEST(ejection_never_leaves_a_service_without_targets);
    CPPUNIT_TEST(copies_prefer_the_nearest_engine);
    CPPUNIT_TEST(streams_leave_engines_without_agents);
    CPPUNIT_TEST(copies_avoid_engines_at_their_limit);
    CPPUNIT_TEST(copies_need_a_permit_at_a_cold_engine);
    CPPUNIT_TEST(copies_ignore_unread_prompts);
    CPPUNIT_TEST(copies_are_not_used_at_ineligible_targets);
    CPPUNIT_TEST(targets_are_used_while_their_removal_is_unconfirmed);
    CPPUNIT_TEST(a_new_incarnation_discards_earlier_state);
    CPPUNIT_TEST(newer_incarnations_are_found_by_address);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against late first events in a burst of long prompts: if the reports do not include unread prompts,
    // entries send too many of them to one engine.
    void first_events_stay_on_time_in_a_burst() {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            auto const with = share_on_time(seed, true);
            auto const without = share_on_time(seed, false);
            CPPUNIT_ASSERT_MESSAGE("on time: " + std::to_string(with), with >= 0.95);
            CPPUNIT_ASSERT_MESSAGE("without reports: " + std::to_string(without), without < with);
        }
    }

    // Guards against requests to targets that are leaving, evacuated, outside the home regions, or already used.
    void chooses_only_targets_that_may_run_the_request() {
        struct row {
            char const* name;
            void (*change)(fleet_view&, placement_request&);
        };
        static std::vector<std::string> const south{"south"};
        static std::vector<std::string> const used{"a"};
        std::vector<row> const table{
            {"announced as leaving",
             [](fleet_view& fleet, placement_request&) {
                 auto record = engine_record("a", "north-a");
                 record.state = target_state::leaving;
                 fleet.update_target(record, fleet_start);
             }},
            {"reported as leaving",
             [](fleet_view& fleet, placement_request&) {
                 auto report = idle_report();
                 report.leaving = true;
                 fleet.update_report("a:1", report, fleet_start);
             }},
            {"removed", [](fleet_view& fleet, placement_request&) { fleet.remove_target("a", false, fleet_start); }},
            {"evacuated", [](fleet_view& fleet, placement_request&) { fleet.set_evacuated("north-a", true); }},
            {"other home of the route", [](fleet_view&, placement_request& request) { request.route_homes = &south; }},
            {"other home of the organisation",
             [](fleet_view&, placement_request& request) { request.organisation_homes = &south; }},
            {"already used", [](fleet_view&, placement_request& request) { request.excluded = used; }},
            {"other service", [](fleet_view&, placement_request& request) { request.service = "orders"; }},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_fleet();
            fleet.update_target(engine_record("a", "north-a"), fleet_start);
            fleet.update_report("a:1", idle_report(), fleet_start);
            auto request = generation();
            CPPUNIT_ASSERT(fleet.choose(request, fleet_start).kind == placement_kind::placed);
            tested.change(fleet, request);
            CPPUNIT_ASSERT(fleet.choose(request, fleet_start).kind == placement_kind::none);
        });
    }

    // Guards against filling an engine until it preempts requests, and against queueing a request that is late already.
    void waits_for_room_unless_late() {
        auto fleet = make_fleet();
        fleet.update_target(engine_record("a", "north-a"), fleet_start);
        auto report = idle_report();
        report.used_tokens = 30000;
        report.committed_tokens = 31000;
        report.running = 6;
        fleet.update_report("a:1", report, fleet_start);
        auto request = generation();
        CPPUNIT_ASSERT(fleet.choose(request, fleet_start).kind == placement_kind::wait);
        request.accept_overcommit = true;
        CPPUNIT_ASSERT(fleet.choose(request, fleet_start).kind == placement_kind::placed);
    }

    // Guards against overloading a new engine: without a report it looked idle to all entries, and all of them sent
    // prompts to it.
    void new_engines_get_no_prompts_before_their_first_report() {
        auto fleet = make_fleet();
        fleet.update_target(engine_record("new", "north-a"), fleet_start);
        CPPUNIT_ASSERT(fleet.choose(generation(), fleet_start + 500ms).kind == placement_kind::wait);
        fleet.update_report("new:1", idle_report(), fleet_start + 600ms);
        CPPUNIT_ASSERT(fleet.choose(generation(), fleet_start + 600ms).kind == placement_kind::placed);

        // Without reports of an agent, each of four entries uses its part of half the slots.
        auto without = make_fleet();
        without.update_target(engine_record("known", "north-a"), fleet_start);
        without.update_report("known:1", idle_report(), fleet_start);
        without.update_target(engine_record("silent", "north-a"), fleet_start);
        without.invalidate_report("known");
        int placed = 0;
        auto const later = fleet_start + 2s;
        for (; placed < 100; ++placed) {
            auto const chosen = without.choose(generation(), later);
            if (chosen.kind != placement_kind::placed)
                break;
            without.begin_request(chosen.target, generation().size, later);
        }
        CPPUNIT_ASSERT_EQUAL(6, placed);
    }

    // Guards against an outage caused by ejecting all targets of a service.
    void ejection_never_leaves_a_service_without_targets() {
        auto fleet = make_fleet();
        for (auto const* id : {"a", "b"}) {
            fleet.update_target(engine_record(id, "north-a"), fleet_start);
            fleet.update_report(std::string{id} + ":1", idle_report(), fleet_start);
            for (std::uint32_t failure = 0; failure < target_health::failures_to_eject; ++failure)
                fleet.record_outcome(id, target_outcome::failed, fleet_start);
            CPPUNIT_ASSERT(fleet.find(id)->health.ejected(fleet_start));
        }
        CPPUNIT_ASSERT(fleet.choose(generation(), fleet_start).kind == placement_kind::placed);
    }

    // Guards against slow copies when several engines stop together: a copy to another region delays the other copies
    // on the link.
    void copies_prefer_the_nearest_engine() {
        struct row {
            char const* name;
            std::vector<std::pair<std::string, std::string>> engines;
            copy_span widest;
            std::string expected;
        };
        using enum copy_span;
        std::vector<row> const table{
            {"own domain first", {{"a", "north-a"}, {"b", "north-b"}, {"c", "south-a"}}, other_region, "a"},
            {"own region next", {{"b", "north-b"}, {"c", "south-a"}}, other_region, "b"},
            {"another region", {{"c", "south-a"}}, other_region, "c"},
            {"no time for another region", {{"c", "south-a"}}, same_region, ""},
            {"own domain only", {{"b", "north-b"}}, same_domain, ""},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_fleet();
            fleet.update_target(engine_record("source", "north-a"), fleet_start);
            for (auto const& [id, domain] : tested.engines) {
                fleet.update_target(engine_record(id, domain), fleet_start);
                auto report = idle_report();
                // A near engine is preferred even if its load is higher.
                report.used_tokens = id == "a" ? 20000 : 0;
                fleet.update_report(id + ":1", report, fleet_start);
            }
            copy_request wanted{generation(), "source", 4000, 0.97, tested.widest};
            CPPUNIT_ASSERT_EQUAL(tested.expected, fleet.choose_copy_holder(wanted, fleet_start).target);
        });
    }

    // Guards against streams that are lost with a leaving engine while no agent reports the load of another one: all
    // agents were lost, or the deployment has none.
    void streams_leave_engines_without_agents() {
        struct row {
            std::string name;
            std::vector<std::string> unreported;
            std::vector<std::string> reported;
            bool accept_unreported;
            base::milliseconds known_for;
            std::uint32_t open_requests;
            std::string expected;
        };
        std::vector<row> const table{
            {"no agents", {"a"}, {}, true, 2s, 0, "a"},
            {"known room first", {"a"}, {"far"}, true, 2s, 0, "far"},
            {"a replica needs known room", {"a"}, {}, false, 2s, 0, ""},
            {"a new engine has not reported yet", {"a"}, {}, true, 500ms, 0, ""},
            {"already used by this entry", {"a"}, {}, true, 2s, 1, ""},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_fleet();
            fleet.update_target(engine_record("source", "north-a"), fleet_start);
            for (auto const& id : tested.unreported)
                fleet.update_target(engine_record(id, "north-a"), fleet_start);
            auto const now = fleet_start + tested.known_for;
            for (auto const& id : tested.reported) {
                fleet.update_target(engine_record(id, "south-a"), fleet_start);
                fleet.update_report(id + ":1", idle_report(), now);
            }
            for (std::uint32_t open = 0; open < tested.open_requests; ++open)
                fleet.begin_request("a", std::nullopt, now);
            copy_request wanted{generation(), "source", 4000, 0.97, copy_span::other_region, tested.accept_unreported};
            CPPUNIT_ASSERT_EQUAL(tested.expected, fleet.choose_copy_holder(wanted, now).target);
        });
    }

    // Guards against streams that resume at an engine beyond the limit that it names, and against streams that are lost
    // because all other engines have limits.
    void copies_avoid_engines_at_their_limit() {
        auto fleet = make_fleet();
        fleet.update_target(engine_record("source", "north-a"), fleet_start);
        for (auto const* id : {"near", "far"}) {
            fleet.update_target(engine_record(id, std::string{id} == "near" ? "north-a" : "south-a"), fleet_start);
            fleet.update_report(std::string{id} + ":1", idle_report(), fleet_start);
        }
        copy_request const wanted{generation(), "source", 4000, 0.97, copy_span::other_region};
        CPPUNIT_ASSERT_EQUAL(std::string{"near"}, fleet.choose_copy_holder(wanted, fleet_start).target);
        fleet.observe_limit("near", 2, fleet_start);
        CPPUNIT_ASSERT_EQUAL(std::string{"far"}, fleet.choose_copy_holder(wanted, fleet_start).target);
        fleet.observe_limit("far", 2, fleet_start);
        CPPUNIT_ASSERT_EQUAL(std::string{"near"}, fleet.choose_copy_holder(wanted, fleet_start).target);
        // The request counts against the limit, although there was no permit for it.
        fleet.begin_request("near", std::nullopt, fleet_start);
        CPPUNIT_ASSERT_EQUAL(1U, fleet.find_permits("near")->take_unpermitted());
    }

    // Guards against streams that move to a cold engine all at once and crash it.
    void copies_need_a_permit_at_a_cold_engine() {
        auto fleet = make_fleet();
        auto record = engine_record("cold", "north-a");
        record.cold_left = 5s;
        fleet.update_target(record, fleet_start);
        fleet.update_report("cold:1", idle_report(), fleet_start);
        copy_request const wanted{generation(), "source", 4000, 0.97, copy_span::other_region};
        CPPUNIT_ASSERT(fleet.choose_copy_holder(wanted, fleet_start).kind == placement_kind::none);
        base::random_source random{1};
        auto* permits = fleet.find_permits("cold");
        std::vector<base::milliseconds> const starts{0ms};
        permits->on_answer(permits->on_asked(fleet_start), starts, 0ms, fleet_start, random);
        CPPUNIT_ASSERT_EQUAL(std::string{"cold"}, fleet.choose_copy_holder(wanted, fleet_start).target);
    }

    // Guards against rejecting a copy off a leaving engine because the destination has unread prompts.
    void copies_ignore_unread_prompts() {
        auto fleet = make_fleet();
        fleet.update_target(engine_record("a", "north-a"), fleet_start);
        auto report = idle_report();
        report.used_tokens = 20000;
        report.running = 6;
        report.queued = 4;
        fleet.update_report("a:1", report, fleet_start);
        copy_request wanted{generation(), "source", 4000, 0.97, copy_span::other_region};
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, fleet.choose_copy_holder(wanted, fleet_start).target);
        // Memory for a copy is reserved as soon as the copy begins.
        fleet.reserve_copy("a", 10000, fleet_start);
        CPPUNIT_ASSERT(fleet.choose_copy_holder(wanted, fleet_start).kind == placement_kind::none);
    }

    // Guards against sending a stream to a copy in a failure domain that was evacuated after the copy was made.
    void copies_are_not_used_at_ineligible_targets() {
        struct row {
            char const* name;
            void (*change)(fleet_view&);
            bool expected;
        };
        std::vector<row> const table{
            {"unchanged", [](fleet_view&) {}, true},
            {"evacuated", [](fleet_view& fleet) { fleet.set_evacuated("north-a", true); }, false},
            {"other failure domain evacuated", [](fleet_view& fleet) { fleet.set_evacuated("north-b", true); }, true},
            {"leaving",
             [](fleet_view& fleet) {
                 fleet.mark_leaving({"a", 0}, fleet_start);
             },
             false},
            {"wants nothing for a time",
             [](fleet_view& fleet) {
                 fleet.hold_off({"a", 0}, 1s, fleet_start);
             },
             false},
            {"removed", [](fleet_view& fleet) { fleet.remove_target("a", false, fleet_start); }, false},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_fleet();
            fleet.update_target(engine_record("a", "north-a"), fleet_start);
            tested.change(fleet);
            CPPUNIT_ASSERT_EQUAL(tested.expected, fleet.may_receive("a", fleet_start));
        });
        CPPUNIT_ASSERT(!make_fleet().may_receive("unknown", fleet_start));
    }

    // Guards against discarding running targets whose records expired during an outage of the metadata store.
    void targets_are_used_while_their_removal_is_unconfirmed() {
        auto fleet = make_fleet();
        fleet.update_target(engine_record("a", "north-a"), fleet_start);
        fleet.remove_target("a", true, fleet_start);
        CPPUNIT_ASSERT(fleet.choose(generation(), fleet_start + 1s).kind == placement_kind::placed);
        auto const later = fleet_start + fleet_view::unconfirmed_removal_lifetime;
        CPPUNIT_ASSERT(fleet.choose(generation(), later).kind == placement_kind::none);
        fleet.update_target(engine_record("a", "north-a"), later);
        CPPUNIT_ASSERT(fleet.choose(generation(), later).kind == placement_kind::placed);
    }

    // Guards against applying the state of an earlier incarnation to a new one with the same id.
    void a_new_incarnation_discards_earlier_state() {
        auto fleet = make_fleet();
        fleet.update_target(engine_record("a", "north-a"), fleet_start);
        auto report = idle_report();
        report.leaving = true;
        fleet.update_report("a:1", report, fleet_start);
        CPPUNIT_ASSERT(fleet.find("a")->leaving(fleet_start));
        auto reborn = engine_record("a", "north-a");
        reborn.started_at = 5;
        fleet.update_target(reborn, fleet_start);
        CPPUNIT_ASSERT(!fleet.find("a")->leaving(fleet_start));
        // A late report of the earlier incarnation is ignored.
        fleet.update_report("a:1", report, fleet_start);
        CPPUNIT_ASSERT(!fleet.find("a")->leaving(fleet_start));
    }

    // Guards against missing the crash of a target that was restarted before its address could refuse a connection.
    void newer_incarnations_are_found_by_address() {
        struct row {
            char const* name;
            char const* id;
            char const* address;
            std::int64_t started_at;
            bool removed;
            bool found;
        };
        std::vector<row> const table{
            {"the same incarnation", "a", "a:1", 5, false, false},
            {"restarted under its id", "a", "a:1", 6, false, true},
            {"restarted under another id", "b", "a:1", 6, false, true},
            {"restarted and gone again", "b", "a:1", 6, true, false},
            {"an earlier incarnation", "b", "a:1", 4, false, false},
            {"another address", "b", "b:1", 6, false, false},
        };
        for_each_row(table, [](row const& tested) {
            auto fleet = make_fleet();
            auto lost = engine_record("a", "north-a");
            lost.started_at = 5;
            fleet.update_target(lost, fleet_start);
            auto announced = engine_record(tested.id, "north-a");
            announced.address = tested.address;
            announced.started_at = tested.started_at;
            fleet.update_target(announced, fleet_start);
            if (tested.removed)
                fleet.remove_target(tested.id, false, fleet_start);
            CPPUNIT_ASSERT_EQUAL(tested.found, fleet.has_newer_incarnation(lost.address, lost.started_at));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace cyclamenledge::tests
