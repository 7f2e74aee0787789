#include "soak/notice_ledger.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using soak::notice_ledger;

constexpr base::time_point start{std::chrono::hours{1}};

/// Calls that callers sent through entries, numbered.
struct played_calls {
    notice_ledger ledger;
    base::time_point calm_from{};
    int broken{0};
    int next{0};

    std::string send(std::string const& entry, base::time_point at) {
        auto const request = std::to_string(next++);
        ledger.assign_entry(request, entry, at);
        return request;
    }
    void arrive(std::string const& entry, base::time_point at) { arrive_late(entry, at, at); }
    void arrive_late(std::string const& entry, base::time_point sent, base::time_point at) {
        broken += ledger.on_arrival(send(entry, sent), "target", at, calm_from) ? 1 : 0;
    }
    void say_leaving(std::string const& entry) {
        auto const request = send(entry, start);
        ledger.on_leaving_said(request, "target");
        ledger.on_answer(request, start);
    }
    void turn_away(std::string const& entry, base::duration length) {
        ledger.on_turned_away(send(entry, start), "target", start, start + length);
    }
};

} // namespace

/// The checks of what targets get after their notices, so that a run without findings says something.
class notice_ledger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(notice_ledger_test);
    CPPUNIT_TEST(finds_broken_promises);
    CPPUNIT_TEST_SUITE_END();

public:
    void finds_broken_promises() {
        struct row {
            char const* name;
            void (*play)(played_calls&);
            int broken;
        };
        std::vector<row> const table{
            {"no notice", [](played_calls& calls) { calls.arrive("one", start + 10s); }, 0},
            {"before the bound",
             [](played_calls& calls) {
                 calls.say_leaving("one");
                 calls.arrive("one", start + 2500ms);
             },
             0},
            {"after the bound",
             [](played_calls& calls) {
                 calls.say_leaving("one");
                 calls.arrive("one", start + 2501ms);
             },
             1},
            {"sent before the bound",
             [](played_calls& calls) {
                 calls.say_leaving("one");
                 calls.arrive_late("one", start + 2500ms, start + 9s);
             },
             0},
            {"another entry",
             [](played_calls& calls) {
                 calls.say_leaving("one");
                 calls.arrive("two", start + 9s);
             },
             0},
            {"leaving, while something is harmed",
             [](played_calls& calls) {
                 calls.say_leaving("one");
                 calls.calm_from = start + 9s;
                 calls.arrive("one", start + 9s);
             },
             1},
            {"leaving, and the entry was restarted",
             [](played_calls& calls) {
                 calls.say_leaving("one");
                 calls.ledger.forget_entry("one");
                 calls.arrive("one", start + 9s);
             },
             0},
            {"leaving, and the entry was restarted before it passed the answer on",
             [](played_calls& calls) {
                 auto const request = calls.send("one", start);
                 calls.ledger.on_leaving_said(request, "target");
                 calls.ledger.forget_entry("one");
                 calls.ledger.on_answer(request, start);
                 calls.arrive("one", start + 9s);
             },
             0},
            {"twice while turned away",
             [](played_calls& calls) {
                 calls.turn_away("one", 3s);
                 for (auto at : {1s, 2s})
                     calls.arrive("one", start + at);
             },
             0},
            {"three times while turned away",
             [](played_calls& calls) {
                 calls.turn_away("one", 3s);
                 for (auto at : {1000ms, 2000ms, 2999ms})
                     calls.arrive("one", start + at);
             },
             1},
            {"on the way when it was turned away",
             [](played_calls& calls) {
                 calls.turn_away("one", 3s);
                 for (auto at : {100ms, 200ms, 499ms, 1000ms, 2000ms})
                     calls.arrive("one", start + at);
             },
             0},
            {"after the end",
             [](played_calls& calls) {
                 calls.turn_away("one", 3s);
                 for (auto at : {3000ms, 3001ms, 3002ms, 3003ms})
                     calls.arrive("one", start + at);
             },
             0},
            {"from three entries, of which one was turned away",
             [](played_calls& calls) {
                 calls.turn_away("one", 3s);
                 for (auto const* entry : {"one", "two", "three"})
                     calls.arrive(entry, start + 1s);
             },
             0},
            {"turned away, and the entry was restarted",
             [](played_calls& calls) {
                 calls.turn_away("one", 3s);
                 calls.ledger.forget_entry("one");
                 for (auto at : {1000ms, 2000ms, 2500ms})
                     calls.arrive("one", start + at);
             },
             0},
            {"turned away while something is harmed",
             [](played_calls& calls) {
                 calls.turn_away("one", 3s);
                 calls.calm_from = start + 1s;
                 for (auto at : {1000ms, 2000ms, 2500ms})
                     calls.arrive("one", start + at);
             },
             0},
        };
        for_each_row(table, [](row const& tested) {
            played_calls calls;
            tested.play(calls);
            CPPUNIT_ASSERT_EQUAL(tested.broken, calls.broken);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(notice_ledger_test);

} // namespace cyclamenledge::tests
