#include "engine_model/engine.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace cyclamenledge::tests {

using engine_model::engine;
using engine_model::engine_event;
using engine_model::engine_event_kind;
using engine_model::engine_parameters;

namespace {

base::time_point at(double seconds) {
    return base::time_point{base::from_seconds(seconds)};
}

std::size_t count(std::vector<engine_event> const& events, engine_event_kind kind) {
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [kind](auto const& each) { return each.kind == kind; }));
}

} // namespace

class engine_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_test);
    CPPUNIT_TEST(tokens_are_produced_once_in_order_and_within_memory);
    CPPUNIT_TEST(full_memory_preempts_the_lowest_priority);
    CPPUNIT_TEST(prefix_hit_shortens_the_first_token);
    CPPUNIT_TEST(cache_events_are_late_and_have_gaps);
    CPPUNIT_TEST(load_report_lags);
    CPPUNIT_TEST(overloaded_cold_engine_fails);
    CPPUNIT_TEST(resume_returns_the_missing_tokens);
    CPPUNIT_TEST(steps_take_as_long_as_the_machine_needs);
    CPPUNIT_TEST(slow_phases_take_up_their_share);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost, repeated or reordered tokens after preemption, and against memory above the limit.
    void tokens_are_produced_once_in_order_and_within_memory() {
        check_property("tokens in order", [](std::vector<std::uint8_t> const& lengths) {
            engine_parameters parameters;
            parameters.memory_tokens = 600;
            engine subject(parameters, at(0), false);
            std::map<std::uint64_t, std::uint32_t> next;
            for (std::size_t id = 0; id < lengths.size(); ++id)
                subject.submit(
                    {.id = id, .prompt_tokens = 20, .output_tokens = lengths[id] + 1U, .priority = lengths[id] % 3U},
                    at(0));
            std::size_t completed = 0;
            for (double now = 0; now < 600 && completed < lengths.size(); now += 1) {
                for (auto const& event : subject.advance(at(now))) {
                    if (event.kind == engine_event_kind::token)
                        RC_ASSERT(event.index == next[event.id]++);
                    completed += event.kind == engine_event_kind::completed ? 1 : 0;
                }
                RC_ASSERT(subject.held_tokens() <= parameters.memory_tokens);
            }
            RC_ASSERT(completed == lengths.size());
        });
    }

    // Guards against preempting a stream of higher priority.
    void full_memory_preempts_the_lowest_priority() {
        engine_parameters parameters;
        parameters.memory_tokens = 300;
        engine subject(parameters, at(0), false);
        subject.submit({.id = 1, .prompt_tokens = 100, .output_tokens = 150, .priority = 0}, at(0));
        subject.submit({.id = 2, .prompt_tokens = 100, .output_tokens = 150, .priority = 1}, at(0));
        auto const events = subject.advance(at(60));
        CPPUNIT_ASSERT(count(events, engine_event_kind::preempted) > 0);
        for (auto const& event : events)
            CPPUNIT_ASSERT(event.kind != engine_event_kind::preempted || event.id == 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count(events, engine_event_kind::completed));
    }

    // Guards against a prefix cache without effect on the time to the first token.
    void prefix_hit_shortens_the_first_token() {
        engine subject({}, at(0), false);
        subject.submit({.id = 1, .prompt_tokens = 2000, .prefix = 7, .prefix_tokens = 1900}, at(0));
        auto const cold_prefix = subject.advance(at(10)).front().at - at(0);
        subject.submit({.id = 2, .prompt_tokens = 2000, .prefix = 7, .prefix_tokens = 1900}, at(10));
        auto const hit = subject.advance(at(20)).front().at - at(10);
        CPPUNIT_ASSERT(hit < cold_prefix / 2);
    }

    // Guards against simulated cache events that are more reliable than those of real engines.
    void cache_events_are_late_and_have_gaps() {
        engine_model::prefix_cache cache({.capacity_tokens = 1000, .drop_every = 4});
        for (std::uint64_t prefix = 0; prefix < 8; ++prefix)
            cache.use(prefix, 400, at(0));
        CPPUNIT_ASSERT(cache.held_tokens() <= 1000);
        CPPUNIT_ASSERT(cache.take_events(at(0.1)).empty());
        auto const events = cache.take_events(at(1));
        CPPUNIT_ASSERT(!events.empty() && events.back().sequence > events.size());
    }

    // Guards against load reports without lag, which would hide faults in code that relies on them.
    void load_report_lags() {
        engine subject({}, at(0), false);
        subject.advance(at(1));
        subject.submit({.id = 1, .prompt_tokens = 10, .output_tokens = 100000 / 10}, at(1));
        subject.advance(at(1.6));
        CPPUNIT_ASSERT_EQUAL(0U, subject.load_report(at(1.6))->running);
        subject.advance(at(3));
        CPPUNIT_ASSERT_EQUAL(1U, subject.load_report(at(3))->running);
    }

    // Guards against a model without overload of cold engines, in which a warm-up would have no effect.
    void overloaded_cold_engine_fails() {
        for (std::uint64_t const streams : {std::uint64_t{4}, std::uint64_t{20}}) {
            engine subject({}, at(0));
            for (std::uint64_t id = 0; id < streams; ++id)
                subject.submit({.id = id, .prompt_tokens = 10, .output_tokens = 5}, at(0));
            auto const events = subject.advance(at(10));
            CPPUNIT_ASSERT_EQUAL(streams == 4, subject.up());
            CPPUNIT_ASSERT_EQUAL(streams == 4 ? std::size_t{0} : streams, count(events, engine_event_kind::failed));
        }
    }

    // Guards against a resume that repeats or skips tokens, or that returns a generation after a crash.
    void resume_returns_the_missing_tokens() {
        engine subject({}, at(0), false);
        subject.submit({.id = 1, .prompt_tokens = 10, .output_tokens = 1000}, at(0));
        auto const produced = subject.advance(at(1)).size();
        auto const resumed = subject.resume(1, 5, at(1));
        CPPUNIT_ASSERT_EQUAL(produced - 5, resumed->size());
        CPPUNIT_ASSERT_EQUAL(5U, resumed->front().index);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, subject.live().size());
        subject.crash(at(2));
        CPPUNIT_ASSERT(!subject.resume(1, 5, at(2)) && subject.live().empty());
        CPPUNIT_ASSERT(!subject.submit({.id = 2}, at(2)));
    }

    // Guards against a pace that changes the number of steps, or that reading and generating do not share.
    void steps_take_as_long_as_the_machine_needs() {
        auto const end_of = [](double pace) {
            engine_parameters parameters;
            parameters.machine.pace = pace;
            engine subject(parameters, at(0), false);
            subject.submit({.id = 1, .prompt_tokens = 600, .output_tokens = 20}, at(0));
            auto const events = subject.advance(at(60));
            CPPUNIT_ASSERT_EQUAL(std::size_t{20}, count(events, engine_event_kind::token));
            return base::to_seconds(events.back().at - at(0));
        };
        for (double const pace : {0.7, 1.7, 4.25})
            CPPUNIT_ASSERT_DOUBLES_EQUAL(pace, end_of(pace) / end_of(1), 0.001);
    }

    // Guards against phases that are longer, slower or more frequent than stated, and against machines that all slow
    // down at the same time.
    void slow_phases_take_up_their_share() {
        engine_model::machine_parameters parameters{.pace = 0.7, .slow_share = 0.15};
        auto const slow_steps = [&](std::uint64_t seed) {
            parameters.seed = seed;
            engine_model::machine_pace pace{parameters, at(0)};
            std::vector<bool> slow;
            for (int step = 0; step < 200000; ++step) {
                auto const value = pace.at(at(step / 100.0));
                slow.push_back(value > 1);
                CPPUNIT_ASSERT_DOUBLES_EQUAL(slow.back() ? 1.75 : 0.7, value, 1e-9);
            }
            return slow;
        };
        auto const one = slow_steps(1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.15, static_cast<double>(std::ranges::count(one, true)) / 200000, 0.02);
        CPPUNIT_ASSERT(one == slow_steps(1));
        CPPUNIT_ASSERT(one != slow_steps(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_test);

} // namespace cyclamenledge::tests
