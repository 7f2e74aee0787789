#include "forwarding/reservation_controller.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

constexpr base::time_point start{std::chrono::hours{1}};
constexpr std::uint32_t engine_memory = 26926;
constexpr std::uint32_t engine_slots = 24;

/// An engine whose memory is filled up to a share and that reads no prompts.
engine_report filled_engine(double share, bool leaving = false) {
    engine_report report;
    report.started_at = 1;
    report.total_tokens = engine_memory;
    report.used_tokens = static_cast<std::uint32_t>(share * engine_memory);
    report.leaving = leaving;
    return report;
}

/// A request that may wait. Its prompt is short, so that memory decides.
struct asked {
    char const* name;
    std::uint32_t priority{1};
    base::milliseconds on_time{2000};
    base::milliseconds waited{0};
    std::uint32_t memory{3000};
    base::milliseconds wait{300};
    std::uint64_t entry{1};
    std::uint32_t unread{100};
    bool crowded{false};
    std::optional<std::uint32_t> organisation{};
};

waiting_reservation item_of(asked const& request, base::time_point now) {
    return {{request.entry, request.name, request.unread, request.memory, engine_slots, request.crowded},
            {request.organisation.value_or(request.priority), request.priority},
            now - request.waited,
            now + request.on_time,
            now + request.wait};
}

std::string text(reservation_controller::answers const& answers) {
    std::string result;
    for (auto const& answer : answers)
        result += (result.empty() ? "" : " ") + std::string{answer.granted ? "+" : "-"} + answer.request;
    return result;
}

std::string ask(reservation_controller& controller, asked const& request, engine_report const& report,
                base::time_point now = start) {
    return text(controller.request(item_of(request, now), report, now));
}

std::uint32_t waiting_at(reservation_controller const& controller, engine_report const& report) {
    return controller.complete(report, start).waiting;
}

/// Three entries report failures of requests that were never sent.
reservation_controller::answers fail_three(reservation_controller& controller, engine_report const& report,
                                           base::time_point now) {
    reservation_controller::answers answers;
    for (std::uint64_t entry = 11; entry <= 13; ++entry) {
        for (auto& answer : controller.end(entry, "failed" + std::to_string(entry), true, report, now))
            answers.push_back(answer);
    }
    return answers;
}

} // namespace

class reservation_controller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reservation_controller_test);
    CPPUNIT_TEST(grants_in_order_of_urgency);
    CPPUNIT_TEST(no_request_overtakes_one_that_waits_for_memory);
    CPPUNIT_TEST(random_requests_are_granted_in_order);
    CPPUNIT_TEST(classes_keep_memory_and_reading_time_free);
    CPPUNIT_TEST(waiting_requests_are_answered_or_forgotten);
    CPPUNIT_TEST(refuses_when_too_many_wait);
    CPPUNIT_TEST(refuses_at_a_failing_engine_except_probes);
    CPPUNIT_TEST(immediate_requests_are_answered_as_by_the_ledger);
    CPPUNIT_TEST(reports_state_nothing_new_before_a_request_may_wait);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against room that goes to whichever request asks first, and against late requests that take the room of
    // those that can still be on time.
    void grants_in_order_of_urgency() {
        struct row {
            char const* name;
            std::vector<asked> requests;
            char const* granted;
        };
        std::vector<row> const table{
            {"by arrival at the entry",
             {{"a"}, {.name = "b", .waited = 40ms}, {.name = "c", .waited = 90ms}},
             "+c +b +a"},
            {"by priority before arrival",
             {{.name = "a", .priority = 2, .waited = 900ms},
              {.name = "b", .priority = 1},
              {.name = "c", .priority = 0}},
             "+c +b +a"},
            {"late deferrable ones last",
             {{.name = "a", .on_time = 0ms, .waited = 2s}, {.name = "b", .priority = 2}, {.name = "c"}},
             "+c +b +a"},
            {"late urgent ones before less urgent ones",
             {{.name = "a", .priority = 0, .on_time = 0ms, .waited = 2s}, {.name = "b", .priority = 2}, {.name = "c"}},
             "+a +c +b"},
            {"late urgent ones behind urgent ones on time",
             {{.name = "a", .priority = 0, .on_time = 0ms, .waited = 2s}, {.name = "b", .priority = 0}},
             "+b +a"},
            {"one that has become late meanwhile",
             {{.name = "a", .on_time = 60ms}, {.name = "b", .priority = 2}, {.name = "c", .priority = 2}},
             "+b +c +a"},
            {"organisation before route",
             {{.name = "a", .priority = 0, .organisation = 1},
              {.name = "b", .priority = 2, .organisation = 0},
              {.name = "c", .priority = 2, .organisation = 1}},
             "+b +a +c"},
            {"late ones by priority and arrival",
             {{.name = "a", .on_time = 0ms},
              {.name = "b", .on_time = 0ms, .waited = 40ms},
              {.name = "c", .priority = 0, .on_time = 0ms}},
             "+c +b +a"},
        };
        for_each_row(table, [](row const& tested) {
            reservation_controller controller;
            auto const full = filled_engine(0.99);
            for (auto const& request : tested.requests)
                CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, request, full));
            CPPUNIT_ASSERT_EQUAL(std::string{}, text(controller.advance(full, start + 50ms)));
            CPPUNIT_ASSERT_EQUAL(std::string{tested.granted},
                                 text(controller.observe(filled_engine(0.1), start + 100ms)));
        });
    }

    // Guards against large requests that starve: small ones would always take the memory that becomes free.
    void no_request_overtakes_one_that_waits_for_memory() {
        reservation_controller controller;
        // 0.9 - 0.7 of the memory is 5385 tokens.
        auto const engine = filled_engine(0.7);
        CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = "large", .memory = 9000}, engine));
        CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = "small", .memory = 500}, engine));
        CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = "less", .priority = 2, .memory = 500}, engine));
        // A more urgent one is ahead of it.
        CPPUNIT_ASSERT_EQUAL(std::string{"+urgent"},
                             ask(controller, {.name = "urgent", .priority = 0, .memory = 500}, engine));
        CPPUNIT_ASSERT_EQUAL(std::string{"+large +small +less"},
                             text(controller.observe(filled_engine(0.45), start + 50ms)));
        // A request that its class can never hold is refused at once, except at an empty engine.
        asked const huge{.name = "huge", .memory = 25500};
        CPPUNIT_ASSERT_EQUAL(std::string{"-huge"}, ask(controller, huge, engine));
        reservation_controller empty;
        CPPUNIT_ASSERT_EQUAL(std::string{"+huge"}, ask(empty, huge, filled_engine(0)));
        // One that has waited as long as it can overrules the limits and the order.
        CPPUNIT_ASSERT_EQUAL(std::string{"+c"}, ask(controller, {.name = "c", .crowded = true}, filled_engine(0.99)));
    }

    // Guards against an order that holds in simple cases only: whatever waits and becomes free, no request is granted
    // while one of higher rank waits.
    void random_requests_are_granted_in_order() {
        for (unsigned const seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
            std::mt19937 random{seed};
            auto const draw = [&](int least, int most) { return std::uniform_int_distribution{least, most}(random); };
            reservation_controller controller;
            std::vector<waiting_reservation> waiting;
            int granted = 0;
            for (int step = 0; step < 400; ++step) {
                auto const now = start + step * 10ms;
                auto const report = filled_engine(draw(70, 99) / 100.0);
                auto const name = std::to_string(step);
                auto const item = item_of({.name = name.c_str(),
                                           .priority = static_cast<std::uint32_t>(draw(0, 2)),
                                           .on_time = base::milliseconds{draw(0, 3) * 100},
                                           .waited = base::milliseconds{draw(0, 900)},
                                           .memory = static_cast<std::uint32_t>(draw(300, 6000))},
                                          now);
                waiting.push_back(item);
                for (auto const& answer : controller.request(item, report, now)) {
                    auto const found = std::ranges::find(
                        waiting, answer.request, [](waiting_reservation const& one) { return one.requested.request; });
                    CPPUNIT_ASSERT(found != waiting.end());
                    auto const taken = *found;
                    waiting.erase(found);
                    if (!answer.granted)
                        continue;
                    ++granted;
                    for (auto const& other : waiting) {
                        auto const rank = [now](waiting_reservation const& one) {
                            bool const late = now >= one.on_time_until;
                            return std::tuple{late && one.urgent.route > 0, one.urgent.rank(), late, one.arrived_at};
                        };
                        CPPUNIT_ASSERT(now >= other.expires_at || rank(taken) <= rank(other));
                    }
                    // Its memory is part of the next report.
                    controller.end(1, answer.request, std::nullopt, filled_engine(1), now);
                }
            }
            CPPUNIT_ASSERT(granted > 40);
        }
    }

    // Guards against less urgent prompts that take the room of urgent ones and of copies of running streams.
    void classes_keep_memory_and_reading_time_free() {
        struct row {
            char const* name;
            std::uint32_t priority;
            double filled;
            std::uint32_t queued;
            bool granted;
        };
        // A request takes 0.1 of the memory. A queued prompt of 2600 tokens is read in 371 ms.
        std::vector<row> const table{
            {"long stream below its share", 2, 0.795, 0, true},
            {"long stream above its share", 2, 0.805, 0, false},
            {"urgent one above the share of long streams", 0, 0.895, 0, true},
            {"urgent one above its share", 0, 0.905, 0, false},
            {"long stream behind a prompt", 1, 0.1, 1, true},
            {"long stream behind two prompts", 1, 0.1, 2, false},
            {"urgent one behind two prompts", 0, 0.1, 2, true},
            {"urgent one behind three prompts", 0, 0.1, 3, false},
        };
        for_each_row(table, [](row const& tested) {
            reservation_controller controller;
            auto report = filled_engine(tested.filled);
            report.queued = tested.queued;
            auto const answer =
                ask(controller, {.name = "a", .priority = tested.priority, .memory = engine_memory / 10}, report);
            CPPUNIT_ASSERT_EQUAL(std::string{tested.granted ? "+a" : ""}, answer);
        });
        // Copies count by memory in use and are not held back by waiting requests.
        reservation_controller controller;
        auto const report = filled_engine(0.86);
        CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = "a"}, report));
        CPPUNIT_ASSERT(controller.grant_immediately({1, "copy", 0, 2900, engine_slots, false}, report, start));
    }

    // Guards against requests that wait for nothing, and against entries that are not told.
    void waiting_requests_are_answered_or_forgotten() {
        struct row {
            char const* name;
            reservation_controller::answers (*act)(reservation_controller&, engine_report const&);
            char const* answers;
            std::uint32_t waiting;
        };
        std::vector<row> const table{
            {"before the time is over",
             [](reservation_controller& controller, engine_report const& full) {
                 return controller.advance(full, start + 299ms);
             },
             "", 2},
            {"the time is over",
             [](reservation_controller& controller, engine_report const& full) {
                 return controller.advance(full, start + 300ms);
             },
             "-a", 1},
            {"the time of both is over",
             [](reservation_controller& controller, engine_report const& full) {
                 return controller.observe(full, start + 500ms);
             },
             "-a -b", 0},
            {"the entry is lost",
             [](reservation_controller& controller, engine_report const& full) {
                 return controller.remove_entry(1, full, start + 10ms);
             },
             "", 1},
            {"the entry no longer needs it",
             [](reservation_controller& controller, engine_report const& full) {
                 return controller.end(1, "a", std::nullopt, full, start + 10ms);
             },
             "", 1},
            {"the engine leaves",
             [](reservation_controller& controller, engine_report const&) {
                 return controller.observe(filled_engine(0.1, true), start + 10ms);
             },
             "-a -b", 0},
            {"the engine has restarted",
             [](reservation_controller& controller, engine_report const&) {
                 auto restarted = filled_engine(0);
                 restarted.started_at = 2;
                 return controller.observe(restarted, start + 10ms);
             },
             "-a -b", 0},
            {"the engine fails",
             [](reservation_controller& controller, engine_report const& full) {
                 return fail_three(controller, full, start + 10ms);
             },
             "-a -b", 0},
        };
        for_each_row(table, [](row const& tested) {
            reservation_controller controller;
            auto const full = filled_engine(0.99);
            controller.observe(full, start);
            CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = "a"}, full));
            CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = "b", .wait = 400ms, .entry = 2}, full));
            CPPUNIT_ASSERT(controller.next_expiry() == start + 300ms);
            CPPUNIT_ASSERT_EQUAL(std::string{tested.answers}, text(tested.act(controller, full)));
            CPPUNIT_ASSERT_EQUAL(tested.waiting, waiting_at(controller, full));
        });
        // A leaving engine lets nothing wait.
        reservation_controller controller;
        CPPUNIT_ASSERT_EQUAL(std::string{"-a"}, ask(controller, {.name = "a"}, filled_engine(0.1, true)));
    }

    // Guards against a list without a bound, and against urgent requests that are refused because others wait.
    void refuses_when_too_many_wait() {
        reservation_controller controller;
        auto const full = filled_engine(0.99);
        for (std::size_t number = 0; number < reservation_queue::maximum_waiting; ++number) {
            auto const name = std::to_string(number);
            CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = name.c_str()}, full));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"-later"}, ask(controller, {.name = "later"}, full, start + 1ms));
        CPPUNIT_ASSERT_EQUAL(std::string{"-63"}, ask(controller, {.name = "urgent", .priority = 0}, full, start + 1ms));
        CPPUNIT_ASSERT_EQUAL(64U, waiting_at(controller, full));
        CPPUNIT_ASSERT_EQUAL(64U * 3000, controller.complete(full, start).waiting_tokens);
        // A request that is asked for again takes its own place.
        CPPUNIT_ASSERT_EQUAL(std::string{}, ask(controller, {.name = "5"}, full, start + 2ms));
        CPPUNIT_ASSERT_EQUAL(64U, waiting_at(controller, full));
    }

    // Guards against requests lost at an engine that fails at once, and against probes that do not come to pass.
    void refuses_at_a_failing_engine_except_probes() {
        reservation_controller controller;
        auto const idle = filled_engine(0);
        controller.observe(idle, start);
        fail_three(controller, idle, start);
        CPPUNIT_ASSERT(controller.complete(idle, start).failing);
        CPPUNIT_ASSERT_EQUAL(std::string{"-a"}, ask(controller, {.name = "a"}, idle, start + 490ms));
        CPPUNIT_ASSERT_EQUAL(std::string{"-a"}, ask(controller, {.name = "a", .crowded = true}, idle, start + 490ms));
        // A probe that does not fit is not held, and the next request may probe.
        CPPUNIT_ASSERT_EQUAL(std::string{"-a"}, ask(controller, {.name = "a"}, filled_engine(0.99), start + 500ms));
        CPPUNIT_ASSERT_EQUAL(std::string{"+b"}, ask(controller, {.name = "b"}, idle, start + 510ms));
        CPPUNIT_ASSERT_EQUAL(std::string{"-c"}, ask(controller, {.name = "c"}, idle, start + 520ms));
        // A stream that goes on from a copy says nothing about new prompts. The probe's first event ends the state.
        auto served = idle;
        served.running = 1;
        CPPUNIT_ASSERT(controller.grant_immediately({1, "copy", 0, 1000, engine_slots, false}, idle, start + 600ms));
        served.generating = {{"copy", 900}};
        controller.observe(served, start + 650ms);
        CPPUNIT_ASSERT(controller.outcomes().failing());
        served.generating = {{"b", 150}};
        controller.observe(served, start + 700ms);
        CPPUNIT_ASSERT(!controller.outcomes().failing());
        CPPUNIT_ASSERT_EQUAL(std::string{"+c"}, ask(controller, {.name = "c"}, idle, start + 710ms));
    }

    // Guards against other answers to older entries and to copies: neither waiting requests nor outcomes change them.
    void immediate_requests_are_answered_as_by_the_ledger() {
        for (unsigned const seed : {1U, 2U, 3U, 4U}) {
            std::mt19937 random{seed};
            reservation_controller controller;
            reservation_ledger ledger;
            int refused = 0;
            for (int step = 0; step < 300; ++step) {
                auto const now = start + step * 20ms;
                auto const report = filled_engine(std::uniform_real_distribution{0.6, 1.0}(random));
                if (step % 5 == 0)
                    fail_three(controller, report, now);
                controller.request(item_of({.name = "w", .memory = 20000, .wait = 10ms}, now), filled_engine(0.99),
                                   now);
                controller.observe(report, now);
                ledger.observe(report, now);
                auto const prompt = std::uniform_int_distribution{0, 1}(random)*600U;
                reservation_request const request{1, std::to_string(step), prompt, prompt + 2000U, engine_slots, false};
                auto const expected = ledger.grant(request, report, now);
                refused += expected ? 0 : 1;
                CPPUNIT_ASSERT_EQUAL(expected, controller.grant_immediately(request, report, now));
                auto const one = controller.complete(report, now);
                auto const other = ledger.complete(report, now);
                CPPUNIT_ASSERT_EQUAL(other.committed_tokens, one.committed_tokens);
                CPPUNIT_ASSERT_EQUAL(other.unread_tokens, one.unread_tokens);
            }
            CPPUNIT_ASSERT(refused > 20 && refused < 280);
        }
    }

    // Guards against messages that change in deployments without overload control.
    void reports_state_nothing_new_before_a_request_may_wait() {
        reservation_controller controller;
        auto const report = filled_engine(0.5);
        controller.observe(report, start);
        controller.grant_immediately({1, "a", 100, 3000, engine_slots, false}, report, start);
        controller.end(1, "a", std::nullopt, report, start);
        auto const completed = controller.complete(report, start);
        CPPUNIT_ASSERT(!completed.failing && !completed.room_in);
        CPPUNIT_ASSERT_EQUAL(0U, completed.waiting + completed.waiting_tokens);
        ask(controller, {.name = "b"}, report);
        CPPUNIT_ASSERT(controller.complete(report, start).room_in == 0ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reservation_controller_test);

} // namespace cyclamenledge::tests
