#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <string>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;

/// Fails unless the lines contain the texts in this order.
void check_order(std::string const& lines, std::vector<std::string> const& texts) {
    std::size_t place = 0;
    for (auto const& text : texts) {
        place = lines.find(text, place);
        CPPUNIT_ASSERT_MESSAGE("no \"" + text + "\" in its place:\n" + lines, place != std::string::npos);
        place += text.size();
    }
}

} // namespace

/// The failed requests of docs/OPERATIONS.md: each is caused and its cause is found with `cyclamenctl trace` alone.
class operations_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(operations_test);
    CPPUNIT_TEST(causes_are_found);
    CPPUNIT_TEST_SUITE_END();

public:
    void causes_are_found() {
        struct row {
            char const* name;
            void (*cause)(platform_world&);
            std::vector<std::string> found;
        };
        std::vector<row> const table{
            {"a generation that broke off midway",
             [](platform_world& world) {
                 auto caller = std::async(std::launch::async, [&] { return world.call({"broken", "/gen/200", 500}); });
                 std::this_thread::sleep_for(1200ms);
                 // The only engine that runs anything.
                 world.act([&] {
                     for (auto const& site : world.fleet().targets()) {
                         if (site->target->where().engine)
                             site->target->crash();
                     }
                 });
                 CPPUNIT_ASSERT(!caller.get().failure.empty());
                 world.act([&] { world.fleet().repair(); });
             },
             {"request_placed", "stream_started", "request_failed", "events="}},
            {"a refusal",
             [](platform_world& world) {
                 world.act([&] {
                     for (std::size_t domain = 0; domain < soak::fleet::domain_count; ++domain)
                         world.fleet().evacuate(domain, true);
                 });
                 std::this_thread::sleep_for(700ms);
                 CPPUNIT_ASSERT_EQUAL(503U, world.call({"refused", "/gen/10", 500}).status);
                 world.act([&] { world.fleet().repair(); });
                 std::this_thread::sleep_for(700ms);
             },
             {"failure_domain_evacuated", "request_refused", "reason=no_target"}},
            {"a plain call with an unknown outcome",
             [](platform_world& world) {
                 auto const harm = [&](double lost) {
                     world.act([&] { world.fleet().targets().back()->target->set_faults({lost, 0, 0, 0, 0}); });
                 };
                 harm(1);
                 CPPUNIT_ASSERT_EQUAL(502U, world.call({"unknown", "/order/10"}).status);
                 harm(0);
             },
             {"request_placed", "request_failed", "reason=read:", "targets=1"}},
            {"late, but served",
             [](platform_world& world) {
                 auto caller = std::async(std::launch::async, [&] { return world.call({"late", "/gen/120", 500}); });
                 std::this_thread::sleep_for(800ms);
                 world.act([&] {
                     for (auto const& site : world.fleet().targets()) {
                         if (site->target->running("late"))
                             site->target->leave(1800ms);
                     }
                 });
                 CPPUNIT_ASSERT_EQUAL(200U, caller.get().status);
             },
             {"request_placed", "target_leaving", "stream_switched", "request_finished", "switches=1"}},
        };
        platform_world world{{.entries = 1, .engines = 4, .services = 1}};
        std::vector<std::string> const requests{"broken", "refused", "unknown", "late"};
        for (std::size_t index = 0; index < table.size(); ++index) {
            table[index].cause(world);
            check_order(world.trace(requests[index]), table[index].found);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(operations_test);

} // namespace cyclamenledge::tests::process
