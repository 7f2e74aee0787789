#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t caller_count = 40;
constexpr auto pause_between_callers = 20ms;
constexpr platform::standin::slow_calls slow{1.0, 300ms, 1500ms};

struct slow_row {
    char const* name;
    std::size_t services;
    bool agents;
    /// Calls made before, from which the entry has a share of retries.
    std::size_t earlier_calls;
};

/// Sends reads from several callers at once and returns how many of them got each status.
std::map<unsigned, std::size_t> send_reads(platform_world& world, std::string const& name, std::size_t count) {
    std::vector<unsigned> statuses(count);
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < count; ++number) {
        callers.emplace_back([&, number] {
            statuses[number] = world.call({name + std::to_string(number), "/read/10", 0, {}, 0, true}).status;
        });
        std::this_thread::sleep_for(pause_between_callers);
    }
    for (auto& caller : callers)
        caller.join();
    std::map<unsigned, std::size_t> counts;
    for (auto const status : statuses)
        ++counts[status];
    return counts;
}

} // namespace

/// Guards against a slow call that is abandoned at its target although it cannot be sent to another one.
class slow_calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slow_calls_test);
    CPPUNIT_TEST(slow_calls_get_the_answer_of_their_target);
    CPPUNIT_TEST_SUITE_END();

public:
    void slow_calls_get_the_answer_of_their_target() {
        std::vector<slow_row> const table{
            {"no budget", 3, false, 0},
            {"no second target", 1, true, 0},
            {"budget for a few of them", 3, true, 100},
        };
        for_each_row(table, [](slow_row const& row) {
            platform_world world{{.entries = 1, .engines = 1, .services = row.services, .agents = row.agents}};
            send_reads(world, "earlier-", row.earlier_calls);
            world.act([&] {
                for (auto const& site : world.fleet().targets())
                    site->target->set_slow_calls(slow);
            });
            auto const counts = send_reads(world, "slow-", caller_count);
            std::string seen;
            for (auto const& [status, count] : counts)
                seen += std::to_string(count) + " of " + std::to_string(status) + " ";
            CPPUNIT_ASSERT_MESSAGE(seen, counts.contains(200) && counts.at(200) == caller_count);
            auto const retries = world.act([&] { return world.ledger().retries(soak::plain_service); });
            CPPUNIT_ASSERT_MESSAGE(std::to_string(retries), row.earlier_calls == 0 || retries > 0);
            auto const violations = world.act([&] { return world.ledger().violations(); });
            CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_calls_test);

} // namespace cyclamenledge::tests::process
