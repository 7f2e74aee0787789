#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

std::string const request = "stream";

} // namespace

/// Guards against a stream that goes on at another engine while the engine before still works on it.
class overlapping_runs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(overlapping_runs_test);
    CPPUNIT_TEST(leaving_engines);
    CPPUNIT_TEST(lost_connections);
    CPPUNIT_TEST(stalled_engines);
    CPPUNIT_TEST_SUITE_END();

    struct row {
        char const* name;
        platform::standin::target_faults faults;
        /// The engine of the stream leaves.
        bool leaves{false};
    };

public:
    void leaving_engines() {
        check({
            {"late first event of the next engine", {.resumption_delay = milliseconds{700}}, true},
            {"engines work on after their connections are closed", {.works_on = 1}, true},
            {"the next engines refuse the last copy", {.last_copy_refused = 1}, true},
        });
    }

    void lost_connections() {
        check({
            {"the engine works on after it has broken the connection off", {.broken_off = 1, .works_on = 1}},
        });
    }

    void stalled_engines() {
        check({
            {"late first event of the next engine", {.stalled = 1, .resumption_delay = milliseconds{700}}},
            {"engines work on after their connections are closed", {.stalled = 1, .works_on = 1}},
        });
    }

private:
    using milliseconds = std::chrono::milliseconds;

    static void check(std::vector<row> const& table) {
        for_each_row(table, [](row const& tested) {
            platform_world world{{.entries = 1, .engines = 6, .services = 1}};
            serve_sound_calls(world);
            set_faults(world, tested.faults);
            std::string served;
            std::jthread caller{[&] { served = world.call({request, "/gen/120", 200}).body; }};
            std::this_thread::sleep_for(milliseconds{700});
            if (tested.leaves)
                leave_engine(world);
            // The next engine makes its events.
            auto next = tested.faults;
            next.stalled = 0;
            set_faults(world, next);
            caller.join();
            wait_for_work_to_end(world);
            auto const call = world.act([&] { return *world.ledger().find(request); });
            auto const trace = world.trace(request);
            CPPUNIT_ASSERT_EQUAL(1U, call.runs);
            CPPUNIT_ASSERT_MESSAGE("the stream did not go on elsewhere:\n" + trace, call.resumptions > 0);
            CPPUNIT_ASSERT_MESSAGE("the stream is not complete:\n" + trace,
                                   served.find("id: 120\n") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE("two engines worked on it for " + std::to_string(call.longest_overlap.count()) +
                                       " ms:\n" + trace,
                                   call.longest_overlap <= milliseconds{400});
        });
    }

    /// Retries are a share of the requests.
    static void serve_sound_calls(platform_world& world) {
        for (int number = 0; number < 60; ++number)
            world.call({"sound-" + std::to_string(number), "/gen/1", 10});
    }

    static void set_faults(platform_world& world, platform::standin::target_faults const& faults) {
        world.act([&] {
            for (auto const& site : world.fleet().targets())
                site->target->set_faults(faults);
        });
    }

    static void leave_engine(platform_world& world) {
        world.act([&] {
            for (auto const& site : world.fleet().targets()) {
                if (site->target->running(request))
                    site->target->leave(std::chrono::seconds{10});
            }
        });
    }

    static void wait_for_work_to_end(platform_world& world) {
        auto const working = [&] {
            auto const& work = world.ledger().find(request)->work;
            return std::ranges::any_of(work, [](auto const& item) { return !item.ended; });
        };
        for (int look = 0; look < 200 && world.act(working); ++look)
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overlapping_runs_test);

} // namespace cyclamenledge::tests::process
