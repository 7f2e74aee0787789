#include "world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

namespace cyclamenledge::tests {

using std::chrono::seconds;

/// Guards guarantees 5 and 6 across real processes: a key runs at most once whatever dies or pauses, and "not run" is
/// stated only when it is true.
class keyed_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(keyed_test);
    CPPUNIT_TEST(runs_once_through_two_entries);
    CPPUNIT_TEST(needs_a_key);
    CPPUNIT_TEST(refuses_another_body);
    CPPUNIT_TEST(passes_idempotent_calls_on);
    CPPUNIT_TEST(inquiry_does_not_seal);
    CPPUNIT_TEST(unknown_after_a_dropped_answer);
    CPPUNIT_TEST(seals_when_the_service_is_absent);
    CPPUNIT_TEST(runs_once_after_the_entry_died);
    CPPUNIT_TEST(new_owner_asks_the_earlier_one);
    CPPUNIT_TEST(paused_agent_never_runs_late);
    CPPUNIT_TEST(unknown_after_the_agent_died);
    CPPUNIT_TEST_SUITE_END();

    static world& all() { return world::instance(); }

    static std::future<answer> call_later(unsigned entry, keyed_call wanted) {
        return std::async(std::launch::async, [=] { return all().call(entry, wanted); });
    }

    static void await_execution(std::string const& target, std::string const& key) {
        wait_until("execution at " + target, seconds{10}, [&] { return all().executions(target, key) == 1; });
    }

    // Failure: both entries send the call, or a later repetition runs it again.
    void runs_once_through_two_entries() {
        auto const key = all().issue_key();
        all().set_faults("paid-1", R"({"delay_ms":500})");
        auto first = call_later(1, {"paid", key});
        auto second = call_later(2, {"paid", key});
        auto const one = first.get();
        auto const two = second.get();
        all().set_faults("paid-1", R"({"delay_ms":0})");
        CPPUNIT_ASSERT_EQUAL(201U, one.status);
        CPPUNIT_ASSERT_EQUAL(one.body, two.body);
        CPPUNIT_ASSERT_EQUAL(one.body, all().call(3, {"paid", key}).body);
        CPPUNIT_ASSERT_EQUAL(one.body, all().call(1, {"paid", key}).body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, all().executions("paid-1", key));
        auto const told = all().inquire(3, "paid", key);
        CPPUNIT_ASSERT_EQUAL(std::string("done"), std::string(told.json().at("state").as_string()));
    }

    // Failure: a payment runs without anything that makes its repetition safe.
    void needs_a_key() {
        CPPUNIT_ASSERT_EQUAL(std::string("missing_idempotency_key"), all().call(1, {"paid", ""}).error_kind());
    }

    // Failure: the answer of one payment is given for another.
    void refuses_another_body() {
        auto const key = all().issue_key();
        CPPUNIT_ASSERT_EQUAL(201U, all().call(1, {"paid", key, "a"}).status);
        for (unsigned const entry : {1U, 2U})
            CPPUNIT_ASSERT_EQUAL(std::string("key_reused"), all().call(entry, {"paid", key, "b"}).error_kind());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, all().executions("paid-1", key));
    }

    // Failure: idempotent calls need a key, or lose their query.
    void passes_idempotent_calls_on() {
        auto const got = all().get(1, "/v1/services/paid/stock/candles?colour=red");
        CPPUNIT_ASSERT_EQUAL(201U, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string("/stock/candles?colour=red"), std::string(got.json().at("path").as_string()));
    }

    // Failure: a question about a key makes the key unusable, or claims that it did not run.
    void inquiry_does_not_seal() {
        auto const key = all().issue_key();
        auto const told = all().inquire(1, "paid", key).json();
        CPPUNIT_ASSERT_EQUAL(std::string("unseen"), std::string(told.at("state").as_string()));
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), std::string(told.at("run").as_string()));
        CPPUNIT_ASSERT_EQUAL(201U, all().call(1, {"paid", key}).status);
    }

    // Failure: a call that ran is repeated because its answer was lost at the service.
    void unknown_after_a_dropped_answer() {
        auto const key = all().issue_key();
        all().set_faults("dropped-1", R"({"drop_answer":true})");
        auto const first = all().call(1, {"dropped", key});
        all().set_faults("dropped-1", R"({"drop_answer":false})");
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), first.run());
        for (unsigned const entry : {1U, 2U})
            CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), all().call(entry, {"dropped", key}).error_kind());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, all().executions("dropped-1", key));
    }

    // Failure: "not run" is stated for a call that is run once the service is back.
    void seals_when_the_service_is_absent() {
        auto const key = all().issue_key();
        all().set_faults("absent-1", R"({"crash":true})");
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), all().call(1, {"absent", all().issue_key()}).run());
        auto const refused = all().call(1, {"absent", key});
        CPPUNIT_ASSERT_EQUAL(std::string("not_run"), refused.run());
        CPPUNIT_ASSERT_EQUAL(std::string("key_sealed"), refused.error_kind());
        all().start_standin("absent-1");
        wait_until("the service is back", seconds{20}, [&] {
            return all().call(2, {"absent", all().issue_key()}).status == 201;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("key_sealed"), all().call(2, {"absent", key}).error_kind());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, all().executions("absent-1", key));
    }

    // Failure: a caller whose entry died runs its call a second time through another one.
    void runs_once_after_the_entry_died() {
        auto const key = all().issue_key();
        all().set_faults("late-1", R"({"delay_ms":2000})");
        auto lost = call_later(3, {"late", key});
        await_execution("late-1", key);
        all().entry(3).terminate();
        CPPUNIT_ASSERT_EQUAL(0U, lost.get().status);
        auto const repeated = all().call(1, {"late", key});
        all().set_faults("late-1", R"({"delay_ms":0})");
        CPPUNIT_ASSERT_EQUAL(201U, repeated.status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, all().executions("late-1", key));
    }

    // Failure: the new owner of a key runs it without the earlier one having given it up.
    void new_owner_asks_the_earlier_one() {
        auto const key = all().issue_key();
        CPPUNIT_ASSERT_EQUAL(201U, all().call(1, {"moved", key}).status);
        auto const state = all().agent_state("moved-old");
        CPPUNIT_ASSERT(state.at("keys").at("ceded").to_number<std::uint64_t>() > 0);
        all().agent("moved-old").terminate();
        auto const next = all().issue_key();
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), all().call(1, {"moved", next}).run());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, all().executions("moved-new", next));
        CPPUNIT_ASSERT_EQUAL(201U, all().call(2, {"moved", key}).status);
    }

    // Failure: a submit that lay in a paused process runs after its caller was told that the outcome is unknown and
    // has acted on it.
    void paused_agent_never_runs_late() {
        auto const key = all().issue_key();
        ::kill(all().agent("paused-1").id(), SIGSTOP);
        auto const told = all().call(1, {"paused", key, "{}", 12000});
        ::kill(all().agent("paused-1").id(), SIGCONT);
        CPPUNIT_ASSERT_EQUAL(std::string("unknown"), told.run());
        // Once a later call has run, everything that the agent held back has been read.
        wait_until("the agent serves again", seconds{20}, [&] {
            return all().call(1, {"paused", all().issue_key()}).status == 201;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, all().executions("paused-1", key));
    }

    // Failure: the restarted agent runs a call that its earlier incarnation has run.
    void unknown_after_the_agent_died() {
        auto const key = all().issue_key();
        all().set_faults("killed-1", R"({"delay_ms":3000})");
        auto first = call_later(1, {"killed", key});
        await_execution("killed-1", key);
        all().agent("killed-1").terminate();
        all().start_agent("killed-1");
        CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), first.get().error_kind());
        for (unsigned const entry : {1U, 2U})
            CPPUNIT_ASSERT_EQUAL(std::string("outcome_unknown"), all().call(entry, {"killed", key}).error_kind());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, all().executions("killed-1", key));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keyed_test);

} // namespace cyclamenledge::tests
