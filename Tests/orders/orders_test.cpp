#include "base/random.h"
#include "orders/fencing.h"
#include "orders/load_pacer.h"
#include "orders/placement.h"
#include "support/catalogue_fixture.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <set>

namespace cyclamenledge::tests {

using namespace orders;
using base::milliseconds;
using base::seconds;

namespace {

struct rollout_result {
    std::size_t least_warm{~std::size_t{0}};
    /// Targets that have the last version at the end.
    std::size_t current{0};
    std::size_t warm{0};
};

/// Agents decide for themselves while the version changes, with reports up to 2 s old and demand seen differently.
rollout_result run_rollouts(std::uint64_t seed, std::uint32_t minimum_warm, placement_switches switches,
                            std::uint64_t period = 100) {
    // The third revision takes the second one back.
    std::array<char const*, 4> const versions{"v1", "v2", "v1", "v3"};
    base::random_source random{seed};
    auto const count = 2 + random.below(11);
    std::vector<catalogue::catalogue_pointer> revisions;
    for (std::uint64_t revision = 1; revision <= versions.size(); ++revision) {
        catalogue_fixture fixture;
        fixture.revision(revision);
        catalogue::service service;
        service.name = "wording";
        service.placement = {"lantern", versions[revision - 1], {}, minimum_warm};
        fixture.add(service);
        for (std::uint64_t index = 0; index < count; ++index) {
            catalogue::target target;
            target.name = "t" + std::to_string(index);
            target.service = "wording";
            fixture.add(target);
        }
        revisions.push_back(fixture.build());
    }
    std::vector<placement> agents;
    std::vector<target_report> truth;
    std::vector<std::uint64_t> loading(count, 0);
    for (std::uint64_t index = 0; index < count; ++index) {
        agents.emplace_back("t" + std::to_string(index), switches);
        truth.push_back({"t" + std::to_string(index), {"lantern", "v1", {}, true}, {}});
    }
    std::vector<std::vector<target_report>> history;
    rollout_result result;
    for (std::uint64_t second = 0; second < 2500; ++second) {
        base::time_point const now{seconds{10'000 + second}};
        for (auto& report : truth)
            report.received = now;
        history.push_back(truth);
        for (std::uint64_t index = 0; index < count; ++index) {
            auto& loaded = truth[index].loaded;
            if (loading[index] > 0) {
                loaded.warm = --loading[index] == 0;
                continue;
            }
            // Each agent learns of a revision up to 3 s after its publication, each period.
            auto const known = std::min<std::uint64_t>((second - std::min(second, random.below(4))) / period, 3);
            auto const& seen = history[second - std::min(second, random.below(3))];
            auto const needed = second < 600 ? static_cast<std::uint32_t>(random.below(count + 1)) : 1U;
            auto const decision = agents[index].decide(*revisions[known], loaded, seen, needed, now);
            if (decision.action == placement_action::load) {
                loaded = {decision.placement.model, decision.placement.version, {}, false};
                loading[index] = 5 + random.below(20);
            } else if (decision.action == placement_action::unload) {
                loaded.warm = false;
            }
        }
        result.warm = static_cast<std::size_t>(
            std::ranges::count_if(truth, [](target_report const& report) { return report.loaded.warm; }));
        result.least_warm = std::min(result.least_warm, result.warm);
    }
    result.current = static_cast<std::size_t>(std::ranges::count_if(
        truth, [](target_report const& report) { return report.loaded.warm && report.loaded.version == "v3"; }));
    return result;
}

} // namespace

class orders_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(orders_test);
    CPPUNIT_TEST(no_service_loses_its_last_warm_target);
    CPPUNIT_TEST(demand_falls_late);
    CPPUNIT_TEST(loads_never_share_a_slot);
    CPPUNIT_TEST(fencing_grows_and_yields);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against agents that together leave a service cold, and against a rollout or a scale-down that never ends.
    // Mutation check: without the protection some run goes cold.
    void no_service_loses_its_last_warm_target() {
        bool unprotected_goes_cold = false;
        for (std::uint64_t seed = 0; seed < 60; ++seed) {
            auto const least = static_cast<std::uint32_t>(1 + seed % 3);
            auto const protected_run = run_rollouts(seed, least, {});
            CPPUNIT_ASSERT(protected_run.least_warm >= 1);
            CPPUNIT_ASSERT_EQUAL(protected_run.warm, protected_run.current);
            CPPUNIT_ASSERT(protected_run.warm <= least);
            unprotected_goes_cold |= run_rollouts(seed, least, {.protect_warm = false}).least_warm == 0;
        }
        CPPUNIT_ASSERT(unprotected_goes_cold);
        // Revisions 20 s apart. Without the wait, agents that know different revisions rely on each other in few runs.
        std::uint64_t seed = 0;
        while (seed < 300 && run_rollouts(seed, 1, {.await_settled_revision = false}, 20).least_warm > 0)
            ++seed;
        CPPUNIT_ASSERT(seed < 300);
        CPPUNIT_ASSERT(run_rollouts(seed, 1, {}, 20).least_warm > 0);
    }

    // Guards against unloading in a short lull, and against a filter that keeps an old peak.
    void demand_falls_late() {
        demand_filter filter;
        auto const at = [](int second) { return base::time_point{seconds{second}}; };
        CPPUNIT_ASSERT_EQUAL(5U, filter.update(5, at(0)));
        CPPUNIT_ASSERT_EQUAL(5U, filter.update(1, at(10)));
        CPPUNIT_ASSERT_EQUAL(5U, filter.update(3, at(309)));
        CPPUNIT_ASSERT_EQUAL(3U, filter.update(1, at(310)));
        CPPUNIT_ASSERT_EQUAL(7U, filter.update(7, at(311)));
    }

    // Guards against more loads at once than the weight store serves.
    void loads_never_share_a_slot() {
        check_property("slots", [](std::uint64_t seed) {
            base::random_source random{seed};
            std::vector<std::string> claimants;
            auto const count = 1 + random.below(30);
            for (std::uint64_t index = 0; index < count; ++index)
                claimants.push_back("t" + std::to_string(index));
            load_pacer const pacer{milliseconds{3000}};
            std::set<base::wall_time> starts;
            for (auto const& own : claimants) {
                base::wall_time const now{milliseconds{1'700'000'000'000 + random.below(200'000)}};
                auto const start = pacer.next_slot(own, claimants, now);
                RC_ASSERT(start >= now && start - now < milliseconds{3000} * count);
                RC_ASSERT(start.time_since_epoch().count() % 3000 == 0);
                RC_ASSERT(starts.insert(start).second);
            }
        });
    }

    // Guards against an old incarnation that orders on, and against a fresh one locked out by a clock that was ahead.
    void fencing_grows_and_yields() {
        base::wall_time const wall{milliseconds{1'790'000'000'000}};
        base::time_point const now{};
        fencing old{wall, ~0ULL, now};
        fencing fresh{wall + milliseconds{1}, 0, now};
        CPPUNIT_ASSERT(*fresh.number() > *old.number());
        old.on_accepted();
        CPPUNIT_ASSERT(old.on_higher(*fresh.number(), now) == fencing_verdict::superseded);
        CPPUNIT_ASSERT(!old.number());

        auto const ahead = *fencing(wall + seconds{60}, 9, now).number();
        CPPUNIT_ASSERT(fresh.on_higher(ahead, now + seconds{1}) == fencing_verdict::repeat_raised);
        CPPUNIT_ASSERT(*fresh.number() > ahead);
        CPPUNIT_ASSERT(fresh.on_higher(*fresh.number() + 1, now + seconds{2}) == fencing_verdict::superseded);

        fencing paused{wall, 1, now};
        CPPUNIT_ASSERT(paused.on_higher(ahead, now + seconds{31}) == fencing_verdict::superseded);
        fencing damaged{wall, 1, now};
        CPPUNIT_ASSERT(damaged.on_higher(~0ULL, now) == fencing_verdict::superseded);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_test);

} // namespace cyclamenledge::tests
