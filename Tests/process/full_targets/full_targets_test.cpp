#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using milliseconds = std::chrono::milliseconds;

std::string const request = "stream";
// Entries close connections to engines that were idle for this long.
constexpr milliseconds idle_time{5000};
// An engine that works on a stream for longer than this beside the next one works on it twice.
constexpr milliseconds longest_overlap{400};

} // namespace

class full_targets_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(full_targets_test);
    CPPUNIT_TEST(streams_are_stopped_at_engines_that_refuse_connections);
    CPPUNIT_TEST(streams_wait_for_engines_without_an_agent);
    CPPUNIT_TEST(unframed_streams_end_with_their_connection);
    CPPUNIT_TEST(streams_go_on_at_once_when_their_engine_has_ended);
    CPPUNIT_TEST_SUITE_END();

    struct row {
        char const* name;
        platform::standin::target_faults faults;
    };

public:
    // Guards against an engine that takes no more connections and is taken for one that has ended, so that its stream
    // goes on at another engine beside it.
    void streams_are_stopped_at_engines_that_refuse_connections() {
        std::vector<row> const table{
            {"no more events, the connection stays open", {.stalled = 1}},
            {"the engine ends the connection and works on", {.broken_off = 1, .works_on = 1}},
        };
        for_each_row(table, [](row const& tested) {
            platform_world world{{.entries = 1, .engines = 6, .services = 1}};
            prepare(world);
            set_faults(world, tested.faults);
            std::string served;
            std::jthread caller{[&] { served = world.call({request, "/gen/120", 4000}).body; }};
            auto& engine = engine_of_stream(world);
            world.act([&] { engine.proxy->stop_listening(); });
            // Its second event comes after 310 ms.
            std::this_thread::sleep_for(milliseconds{400});
            set_faults(world, {});
            caller.join();
            wait_for_work_to_end(world);
            auto const call = world.act([&] { return *world.ledger().find(request); });
            auto const trace = world.trace(request);
            CPPUNIT_ASSERT_EQUAL(1U, call.runs);
            CPPUNIT_ASSERT_MESSAGE("two engines worked on it for " + std::to_string(call.longest_overlap.count()) +
                                       " ms:\n" + trace,
                                   call.longest_overlap <= longest_overlap);
            CPPUNIT_ASSERT_MESSAGE("the stream did not go on elsewhere:\n" + trace, call.resumptions > 0);
            CPPUNIT_ASSERT_MESSAGE("the stream is not complete:\n" + trace,
                                   served.find("id: 120\n") != std::string::npos);
        });
    }

    // Guards against a refused connection that is taken for the end of an engine, when its agent is gone and the
    // connection of the stream shows that the engine lives.
    void streams_wait_for_engines_without_an_agent() {
        platform_world world{{.entries = 1, .engines = 6, .services = 1}};
        prepare(world);
        set_faults(world, {.stalled = 1});
        std::jthread caller{[&] { world.call({request, "/gen/120", 4000}); }};
        auto& engine = engine_of_stream(world);
        world.act([&] {
            engine.proxy->stop_listening();
            engine.agent.ended_on_purpose = true;
            engine.agent.process->kill();
        });
        caller.join();
        auto const call = world.act([&] { return *world.ledger().find(request); });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(world.trace(request), std::size_t{1}, call.work.size());
    }

    // Guards against a whole stream that counts as cut, because its engine takes no connection for the question whether
    // it lives on.
    void unframed_streams_end_with_their_connection() {
        platform_world world{{.entries = 1, .engines = 6, .services = 1}};
        prepare(world);
        set_faults(world, {.unframed = 1});
        std::string served;
        std::jthread caller{[&] { served = world.call({request, "/gen/30", 4000}).body; }};
        auto& engine = engine_of_stream(world);
        world.act([&] { engine.proxy->stop_listening(); });
        caller.join();
        auto const call = world.act([&] { return *world.ledger().find(request); });
        auto const trace = world.trace(request);
        CPPUNIT_ASSERT_MESSAGE("the stream is not complete:\n" + trace, served.find("id: 30\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(trace, std::size_t{1}, call.work.size());
    }

    // Guards against a stream that waits for a witness although its engine has ended: a pause of more than 180 ms makes
    // it late.
    void streams_go_on_at_once_when_their_engine_has_ended() {
        platform_world world{{.entries = 1, .engines = 6, .services = 1}};
        prepare(world);
        std::string served;
        std::jthread caller{[&] { served = world.call({request, "/gen/120", 400}).body; }};
        auto& engine = engine_of_stream(world);
        std::this_thread::sleep_for(milliseconds{700});
        auto const ended = world.act([&] {
            engine.target->crash();
            return base::clock::now();
        });
        caller.join();
        auto const call = world.act([&] { return *world.ledger().find(request); });
        auto const trace = world.trace(request);
        CPPUNIT_ASSERT_MESSAGE("the stream is not complete:\n" + trace, served.find("id: 120\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(trace, std::size_t{2}, call.work.size());
        auto const pause = std::chrono::duration_cast<milliseconds>(call.work.back().began - ended);
        CPPUNIT_ASSERT_MESSAGE("the next engine got it after " + std::to_string(pause.count()) + " ms:\n" + trace,
                               pause <= milliseconds{180});
    }

private:
    /// Retries are a share of the requests. The entry has no connection to an engine afterwards.
    static void prepare(platform_world& world) {
        for (int number = 0; number < 60; ++number)
            world.call({"sound-" + std::to_string(number), "/gen/1", 10});
        std::this_thread::sleep_for(idle_time);
    }

    static void set_faults(platform_world& world, platform::standin::target_faults const& faults) {
        world.act([&] {
            for (auto const& site : world.fleet().targets())
                site->target->set_faults(faults);
        });
    }

    static soak::target_site& engine_of_stream(platform_world& world) {
        for (int look = 0; look < 2000; ++look) {
            auto* const found = world.act([&]() -> soak::target_site* {
                for (auto const& site : world.fleet().targets()) {
                    if (site->target->running(request))
                        return site.get();
                }
                return nullptr;
            });
            if (found != nullptr)
                return *found;
            std::this_thread::sleep_for(milliseconds{2});
        }
        CPPUNIT_FAIL("no engine runs the stream");
        std::abort();
    }

    static void wait_for_work_to_end(platform_world& world) {
        auto const working = [&] {
            auto const& work = world.ledger().find(request)->work;
            return std::ranges::any_of(work, [](auto const& item) { return !item.ended; });
        };
        for (int look = 0; look < 200 && world.act(working); ++look)
            std::this_thread::sleep_for(milliseconds{50});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(full_targets_test);

} // namespace cyclamenledge::tests::process
