#include "soak/run_ledger.h"
#include "support/table_test.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using soak::call_end;
using soak::run_ledger;

struct world {
    boost::asio::io_context context;
    run_ledger ledger;
    platform::standin::target_directory directory;
    platform::standin::target_standin target{
        context, {"orders", "domain", "127.0.0.1:1", "127.0.0.1:2", false}, directory, ledger, 1};

    void run_crashing(int crashes, base::duration ago, int runs) {
        for (int crash = 0; crash < crashes; ++crash)
            ledger.record_crash("content", base::clock::now() - ago);
        for (int number = 0; number < runs; ++number) {
            auto const request = std::to_string(number);
            ledger.begin_crashing_call(request, false, "orders", "content");
            run(request);
        }
    }
    void arrive_at_limited(int requests, base::duration named_ago) {
        ledger.name_limit(target.id(), 2, base::clock::now() - named_ago);
        for (int number = 0; number < requests; ++number)
            ledger.on_arrival(std::to_string(number), target);
    }
    void arrive_again(int calls, int retries) {
        for (int number = 0; number < calls; ++number)
            ledger.begin_call(std::to_string(number), true, "orders");
        for (int number = 0; number < retries; ++number) {
            ledger.on_arrival(std::to_string(number), target);
            ledger.on_arrival(std::to_string(number), target);
        }
    }
    void run(std::string const& request, bool continued = false) { ledger.on_run(request, target, continued); }
};

} // namespace

/// The checks of the fault soak, so that a run without findings says something.
class run_ledger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(run_ledger_test);
    CPPUNIT_TEST(finds_broken_promises);
    CPPUNIT_TEST_SUITE_END();

public:
    void finds_broken_promises() {
        struct row {
            char const* name;
            void (*play)(world&);
            bool broken;
        };
        std::vector<row> const table{
            {"runs once",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.ledger.end_call("a", call_end::served);
             },
             false},
            {"runs twice",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.run("a");
             },
             true},
            {"goes on from a copy",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.run("a", true);
             },
             false},
            {"a read runs twice",
             [](world& played) {
                 played.ledger.begin_call("a", true, "orders");
                 played.run("a");
                 played.run("a");
             },
             false},
            {"refused after it ran",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.ledger.end_call("a", call_end::refused);
             },
             true},
            {"runs after it was refused",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.end_call("a", call_end::refused);
                 played.run("a");
             },
             true},
            {"a crashing request runs a few times more", [](world& played) { played.run_crashing(3, 10s, 3); }, false},
            {"a crashing request runs again and again", [](world& played) { played.run_crashing(3, 10s, 4); }, true},
            {"a crashing request runs before entries can know", [](world& played) { played.run_crashing(3, 3s, 4); },
             false},
            {"a crashing request has crashed two targets", [](world& played) { played.run_crashing(2, 10s, 4); },
             false},
            {"a crashing request runs while something is harmed",
             [](world& played) {
                 played.ledger.begin_disturbance();
                 played.run_crashing(3, 10s, 4);
             },
             false},
            {"as many as a limit permits", [](world& played) { played.arrive_at_limited(17, 10s); }, false},
            {"more than a limit permits", [](world& played) { played.arrive_at_limited(18, 10s); }, true},
            {"more than a limit that entries cannot know yet", [](world& played) { played.arrive_at_limited(18, 5s); },
             false},
            {"as many retries as the bound of the service permits", [](world& played) { played.arrive_again(100, 74); },
             false},
            {"more retries than the bound of the service permits", [](world& played) { played.arrive_again(100, 75); },
             true},
            {"nobody sent it", [](world& played) { played.run("a"); }, true},
            {"at a target that left",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.close_target(played.target.id(), base::clock::now() - 10s);
                 played.run("a");
             },
             true},
            {"at a target that leaves",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.close_target(played.target.id(), base::clock::now() - 1s);
                 played.run("a");
             },
             false},
            {"at a target that left while the store was harmed",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.begin_disturbance();
                 played.ledger.close_target(played.target.id(), base::clock::now() - 10s);
                 played.run("a");
             },
             false},
        };
        for_each_row(table, [](row const& tested) {
            world played;
            tested.play(played);
            CPPUNIT_ASSERT_EQUAL(tested.broken, !played.ledger.violations().empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_ledger_test);

} // namespace cyclamenledge::tests
