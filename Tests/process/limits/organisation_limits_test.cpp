#include "limits/home_entry.h"
#include "process/limits/fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

namespace cyclamenledge::tests {

namespace {

struct tally {
    std::atomic<std::uint64_t> admitted{0};
    std::atomic<std::uint64_t> refused{0};
    std::atomic<std::uint64_t> other{0};
    std::mutex mutex;
    std::string unexpected;
};

struct caller_group {
    std::size_t entry{0};
    std::string organisation;
    tally* result{nullptr};
};

/// Each caller opens a connection per request, and faster callers run out of local ports.
constexpr base::milliseconds pause_between_requests{5};

/// Requests from four callers of each group, many times the limit, until the time is over. Returns the seconds it took.
double offer_load(fleet& system, std::vector<caller_group> const& groups, base::duration span) {
    auto const started = base::clock::now();
    {
        std::vector<std::jthread> callers;
        for (auto const& group : groups) {
            for (int i = 0; i < 4; ++i)
                callers.emplace_back([&system, group, started, span] {
                    while (base::clock::now() - started < span) {
                        std::this_thread::sleep_for(pause_between_requests);
                        auto const answer = system.complete(group.entry, group.organisation, "x length=1");
                        // A request that no target can take yet, because entries ramp up their load, has passed the
                        // limits and used their credit.
                        if (answer && (answer->status == 200 || answer->body.find("overloaded") != std::string::npos)) {
                            ++group.result->admitted;
                        } else if (answer && answer->status == 429 &&
                                   answer->body.find("organisation_limit") != std::string::npos &&
                                   answer->body.find("not_run") != std::string::npos &&
                                   answer->body.find("retry_after_ms") != std::string::npos) {
                            ++group.result->refused;
                        } else {
                            ++group.result->other;
                            std::scoped_lock const lock{group.result->mutex};
                            group.result->unexpected = answer ? answer->body : fleet::last_failure();
                        }
                    }
                });
        }
    }
    return base::to_seconds(base::clock::now() - started);
}

/// What organisation_limiter.h states for one home entry.
double stated_bound(double limit, double span) {
    return limit * (span + 2) + 0.1 * limit * (span + 2);
}

} // namespace

class organisation_limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(organisation_limits_test);
    CPPUNIT_TEST(single_entry_uses_the_whole_limit);
    CPPUNIT_TEST(entries_stay_within_the_limit_together);
    CPPUNIT_TEST(branch_stretches_only_while_there_is_room);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a limit that is not enforced, and against a home entry that cannot use the limit itself.
    void single_entry_uses_the_whole_limit() {
        fleet system{1, 1, 1, {{"big", "", 40, 0}}};
        tally result;
        auto const span = offer_load(system, {{0, "big", &result}}, 6s);
        report("one entry", result, span, 40);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.unexpected, std::uint64_t{0}, result.other.load());
        CPPUNIT_ASSERT(static_cast<double>(result.admitted) <= stated_bound(40, span));
        CPPUNIT_ASSERT(static_cast<double>(result.admitted) >= 0.7 * 40 * span);
        CPPUNIT_ASSERT(result.refused > 0);
    }

    // Guards against entries that each admit the whole limit, also when the home entry is lost.
    void entries_stay_within_the_limit_together() {
        fleet system{2, 2, 1, {{"big", "", 40, 0}}};
        auto const published = system.published();
        auto const home = limits::home_entry(*published, *published->find_organisation("big"));
        std::size_t const home_index = home == fleet::entry(0) ? 0 : 1;
        tally both;
        auto const span = offer_load(system, {{0, "big", &both}, {1, "big", &both}}, 6s);
        report("two entries", both, span, 40);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(both.unexpected, std::uint64_t{0}, both.other.load());
        CPPUNIT_ASSERT(static_cast<double>(both.admitted) <= stated_bound(40, span));
        CPPUNIT_ASSERT(static_cast<double>(both.admitted) >= 0.6 * 40 * span);

        system.kill(fleet::entry(home_index));
        tally alone;
        auto const later = offer_load(system, {{1 - home_index, "big", &alone}}, 8s);
        report("home entry killed", alone, later, 40);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(alone.unexpected, std::uint64_t{0}, alone.other.load());
        // The leases that are left, and the fall-back share of one of two entries.
        CPPUNIT_ASSERT(static_cast<double>(alone.admitted) <= 40 * 2 + 0.05 * 40 * (later + 2));
        CPPUNIT_ASSERT_MESSAGE("the fall-back share is in use", alone.admitted > 0);
    }

    // Guards against a branch that cannot use its stretch, and against one that takes the room of its head office.
    void branch_stretches_only_while_there_is_room() {
        fleet system{3, 1, 1, {{"head", "", 40, 0}, {"small", "head", 10, 1}, {"large", "head", 30, 0}}};
        tally with_room;
        auto const first = offer_load(system, {{0, "small", &with_room}}, 8s);
        report("branch with room", with_room, first, 10);
        CPPUNIT_ASSERT(static_cast<double>(with_room.admitted) <= stated_bound(20, first));
        CPPUNIT_ASSERT(static_cast<double>(with_room.admitted) >= 1.4 * 10 * first);

        tally others;
        tally without_room;
        auto const second = offer_load(system, {{0, "large", &others}, {0, "small", &without_room}}, 8s);
        report("branch without room", without_room, second, 10);
        report("the other branch", others, second, 30);
        // One lease period of the stretch is left from before.
        CPPUNIT_ASSERT(static_cast<double>(without_room.admitted) <= stated_bound(10, second) + 2 * 10);
        CPPUNIT_ASSERT(static_cast<double>(without_room.admitted) >= 0.5 * 10 * second);
    }

private:
    static void report(char const* name, tally const& result, double span, double limit) {
        std::cout << "\n  " << name << ": " << result.admitted << " admitted, " << result.refused << " refused in "
                  << span << " s, limit " << limit << " requests/s, stated bound " << stated_bound(limit, span) << "\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(organisation_limits_test);

} // namespace cyclamenledge::tests
