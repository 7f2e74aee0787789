#include "generation_world.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>

namespace cyclamenledge::tests {

namespace {

/// Long enough to be still running when a fault is injected after its first tokens, at 14 ms for each token.
constexpr std::uint32_t long_stream = 600;

struct barrier {
    std::uint32_t arrived{0};
    std::uint32_t expected{0};
};

/// Reads the first token, waits until every stream has one, and reads the others.
boost::asio::awaitable<void> read_together(completion_reader& reader, std::string address, std::string key,
                                           std::uint32_t length, barrier& all) {
    co_await reader.open(std::move(address), std::move(key), length);
    co_await reader.read_tokens(1);
    ++all.arrived;
    boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor};
    while (all.arrived < all.expected) {
        timer.expires_after(std::chrono::milliseconds{10});
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_await reader.read_all();
}

} // namespace

class fault_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fault_test);
    CPPUNIT_TEST(thousand_streams_at_once);
    CPPUNIT_TEST(silent_link_loses_nothing);
    CPPUNIT_TEST(paused_entry_loses_nothing);
    CPPUNIT_TEST(restarted_agent_continues);
    CPPUNIT_TEST(killed_agent_after_a_token);
    CPPUNIT_TEST(killed_agent_before_a_token);
    CPPUNIT_TEST(crashed_engine_after_a_token);
    CPPUNIT_TEST(crashed_engine_before_a_token);
    CPPUNIT_TEST(silent_engine);
    CPPUNIT_TEST(leaving_caller);
    CPPUNIT_TEST(planned_stop_of_the_entry);
    CPPUNIT_TEST(planned_stop_of_the_agent);
    CPPUNIT_TEST(planned_stop_of_the_agent_while_the_entry_is_paused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against tokens that are lost, repeated, reordered or crossed between streams that share one link.
    void thousand_streams_at_once() {
        constexpr std::uint32_t streams = 1000;
        generation_world world;
        auto& target = world.add_target("text-1");
        target.memory_tokens = 4'000'000;
        target.maximum_running = streams;
        target.warmup_floor = streams;
        world.service_classes = "  - {name: interactive, owner: tests, goal: completion, token_gap_target: 10 s, "
                                "queue_limit: 2000, queue_deadline: 60 s}\n";
        world.start_all({"--speed", "20", "--memory-tokens", "4000000", "--maximum-batch", "1000"});
        barrier all{0, streams};
        std::uint32_t ended = 0;
        std::vector<std::unique_ptr<completion_reader>> readers;
        for (std::uint32_t index = 0; index < streams; ++index) {
            auto& reader = *readers.emplace_back(
                std::make_unique<completion_reader>(world.context().get_executor(), "s" + std::to_string(index)));
            boost::asio::co_spawn(world.context(),
                                  read_together(reader, world.caller_address(), world.key(), 100 + index % 50, all),
                                  [&ended](std::exception_ptr const&) { ++ended; });
        }
        world.wait(
            "every stream ends", [&] { return ended == streams; }, std::chrono::seconds{120});
        for (std::uint32_t index = 0; index < streams; ++index)
            assert_complete(readers[index]->result(), 100 + index % 50, world);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, world.open_requests(target.operator_address));
    }

    // Guards against loss or repetition when a link is silent for longer than its limit and the agent wakes up again.
    void silent_link_loses_nothing() {
        generation_world world;
        world.add_target("text-1");
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        world.find("text-1").send_signal(SIGSTOP);
        world.wait("the entry closes the silent link", [&] { return !world.link_up("text-1"); });
        world.find("text-1").send_signal(SIGCONT);
        world.wait_ended(1);
        assert_complete(reader->result(), long_stream, world);
        CPPUNIT_ASSERT(world.counter(world.entry("entry-1").operator_address, "cyclamenledge_resumes_total") >= 1);
    }

    // Guards against loss when the entry itself is paused until the agent has closed the silent link.
    void paused_entry_loses_nothing() {
        generation_world world;
        auto const& target = world.add_target("text-1");
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        world.find("entry-1").send_signal(SIGSTOP);
        world.wait("the agent closes the silent link",
                   [&] { return world.counter(target.operator_address, "cyclamenledge_links_lost_total") >= 1; });
        world.find("entry-1").send_signal(SIGCONT);
        world.wait_ended(1);
        assert_complete(reader->result(), long_stream, world);
    }

    // Guards against a stream that ends, loses or repeats tokens although the engine kept the generation.
    void restarted_agent_continues() {
        generation_world world;
        world.add_target("text-1");
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        world.find("text-1").kill();
        world.start_agent("text-1");
        world.wait_ended(1);
        assert_complete(reader->result(), long_stream, world);
    }

    // Guards against a stream that hangs, or goes on from another generation, when its agent is gone.
    void killed_agent_after_a_token() {
        generation_world world;
        world.add_target("text-1");
        world.add_target("text-2");
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        kill_the_agent_of_the_run(world);
        world.wait_ended(1);
        assert_lost(reader->result(), world);
    }

    // Guards against an error for the caller when another target can still run the whole generation.
    void killed_agent_before_a_token() {
        generation_world world;
        world.add_target("text-1");
        world.add_target("text-2");
        world.start_all();
        for (auto const* name : {"text-1", "text-2"})
            world.set_fault(name, R"({"stall_ms":3000})");
        auto const reader = world.start_reading("alpha", 40);
        kill_the_agent_of_the_run(world);
        CPPUNIT_ASSERT_EQUAL(0U, reader->result().tokens);
        world.wait_ended(1);
        assert_complete(reader->result(), 40, world);
    }

    // Guards against a stream that hangs, or goes on from another generation, when the engine has crashed.
    void crashed_engine_after_a_token() {
        generation_world world;
        auto const& agent = world.add_target("text-1").operator_address;
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        auto const incarnation = world.state(agent).at("target").at("incarnation");
        world.set_fault("text-1", R"({"crash":true})");
        world.wait_ended(1);
        assert_lost(reader->result(), world);
        // An entry learns with a heartbeat that the engine is back; until then it truthfully refuses with no_target.
        world.wait("the agent sees the new incarnation",
                   [&] { return world.state(agent).at("target").at("incarnation") != incarnation; });
        world.wait("the entry may use the target again", [&] { return world.accepting("text-1"); });
        auto const again = world.open("beta", 20);
        world.read_all(*again);
        assert_complete(again->result(), 20, world);
    }

    // Guards against an error for the caller when an engine crashes on a request that has no token yet.
    void crashed_engine_before_a_token() {
        generation_world world;
        world.add_target("text-1");
        world.add_target("text-2");
        world.start_all();
        for (auto const* name : {"text-1", "text-2"})
            world.set_fault(name, R"({"stall_ms":3000})");
        auto const reader = world.start_reading("alpha", 40);
        world.set_fault(target_of_the_run(world), R"({"crash":true})");
        CPPUNIT_ASSERT_EQUAL(0U, reader->result().tokens);
        world.wait_ended(1);
        assert_complete(reader->result(), 40, world);
    }

    // Guards against loss in a stream whose engine is silent for a while, and against new work for a silent engine.
    void silent_engine() {
        generation_world world;
        world.add_target("text-1");
        world.add_target("text-2");
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        auto const silent = target_of_the_run(world);
        world.set_fault(silent, R"({"silent":true})");
        world.wait("the agent notices",
                   [&] { return process::get(world.target(silent).operator_address, "/readyz").status == 503; });
        auto const other = world.open("beta", 40);
        world.read_all(*other);
        assert_complete(other->result(), 40, world);
        world.set_fault(silent, R"({"silent":false})");
        world.wait_ended(1);
        assert_complete(reader->result(), long_stream, world);
    }

    // Guards against engine time and memory spent on a generation whose caller has left.
    void leaving_caller() {
        generation_world world;
        auto const& target = world.add_target("text-1");
        world.start_all();
        auto reader = world.open("alpha", 30000);
        CPPUNIT_ASSERT(world.read_tokens(*reader, 5));
        reader->close();
        world.wait("the generation is cancelled at the engine", [&] { return live_generations(world, "text-1") == 0; });
        world.wait("nothing is open", [&] {
            return world.open_requests(target.operator_address) == 0 &&
                   world.open_requests(world.entry("entry-1").operator_address) == 0;
        });
    }

    // Guards against a planned stop of the entry that cuts a stream or ends with an error status.
    void planned_stop_of_the_entry() {
        generation_world world;
        world.add_target("text-1");
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        world.find("entry-1").send_signal(SIGTERM);
        world.wait_ended(1);
        assert_complete(reader->result(), long_stream, world);
        world.find("entry-1").stop_planned();
    }

    // Guards against a planned stop of the agent that cuts a stream or ends with an error status.
    void planned_stop_of_the_agent() {
        generation_world world;
        world.add_target("text-1");
        world.add_target("text-2");
        world.start_all();
        auto const reader = world.start_reading("alpha", long_stream);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        auto const stopped = target_of_the_run(world);
        world.find(stopped).send_signal(SIGTERM);
        auto const other = world.open("beta", 40);
        world.read_all(*other);
        assert_complete(other->result(), 40, world);
        world.wait_ended(1);
        assert_complete(reader->result(), long_stream, world);
        world.find(stopped).stop_planned();
    }

    // Guards against a planned stop that drops the tokens which an entry could not fetch: its link went down while the
    // engine was slow, and the engine ended the generation afterwards.
    void planned_stop_of_the_agent_while_the_entry_is_paused() {
        generation_world world;
        auto const& target = world.add_target("text-1");
        world.start_all();
        auto const reader = world.start_reading("alpha", 60);
        world.wait("tokens", [&] { return reader->result().tokens >= 5; });
        world.set_fault("text-1", R"({"stall_ms":6000})");
        world.find("entry-1").send_signal(SIGSTOP);
        world.wait("the agent closes the silent link",
                   [&] { return world.counter(target.operator_address, "cyclamenledge_links_lost_total") >= 1; });
        world.find("text-1").send_signal(SIGTERM);
        world.wait("the engine ends the generation", [&] { return live_generations(world, "text-1") == 0; });
        world.wait("the agent stops or refuses new work", [&] {
            auto const dump = world.state(target.operator_address);
            return !dump.is_object() || dump.at("drain").as_string() != "running";
        });
        world.find("entry-1").send_signal(SIGCONT);
        world.wait_ended(1);
        assert_complete(reader->result(), 60, world);
        world.find("text-1").stop_planned();
    }

private:
    static std::size_t live_generations(generation_world& world, std::string const& target) {
        auto const answer = process::get(world.target(target).target_address, "/v1/generations").json();
        return answer.at("generations").as_array().size();
    }

    /// The target whose engine holds the generation.
    static std::string target_of_the_run(generation_world& world) {
        std::string found;
        world.wait("an engine has the generation", [&] {
            for (auto const* name : {"text-1", "text-2"}) {
                if (live_generations(world, name) > 0)
                    found = name;
            }
            return !found.empty();
        });
        return found;
    }

    static void kill_the_agent_of_the_run(generation_world& world) { world.find(target_of_the_run(world)).kill(); }

    static void assert_lost(completion_result const& result, process::deployment const& world) {
        auto const text = result.describe() + "\n" + world.describe();
        CPPUNIT_ASSERT_MESSAGE(text, result.disorder.empty() && result.tokens >= 5 && !result.done_marker);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string("generation_lost"), result.error_kind);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), result.failure);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_test);

} // namespace cyclamenledge::tests
