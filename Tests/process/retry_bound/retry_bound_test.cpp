#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t entry_count = 4;
constexpr std::size_t service_count = 3;
constexpr std::size_t caller_count = 12;
constexpr auto call_interval = 300ms;
// A process has no part of the reserve in its first window, so the second one is judged.
constexpr auto load_time = 22s;
constexpr auto stop_interval = 3500ms;
constexpr double failed_share = 0.9;

void run_undisturbed(platform_world&, std::atomic<bool> const&) {}

/// Stops and restarts one entry after the other, so that several are stopping or have just started.
void stop_in_series(platform_world& world, std::atomic<bool> const& ended) {
    for (std::size_t number = 0; !ended; ++number) {
        auto& process = world.fleet().entries().at(number % entry_count)->process;
        world.act([&] {
            process.ended_on_purpose = true;
            process.process->send_signal(SIGTERM);
        });
        auto const next = base::clock::now() + stop_interval;
        while (!ended && base::clock::now() < next)
            std::this_thread::sleep_for(50ms);
        process.process->wait_for_exit();
        world.act([&] { world.fleet().start_daemon(process); });
    }
}

struct bound_row {
    char const* name;
    bool agents;
    void (*disturb)(platform_world&, std::atomic<bool> const& ended);
};

/// Sends reads from several callers at once, each through the entries in turn.
void send_reads(platform_world& world, base::duration length) {
    static std::atomic<std::uint64_t> next{0};
    std::vector<std::thread> callers;
    auto const end = base::clock::now() + length;
    for (std::size_t number = 0; number < caller_count; ++number) {
        callers.emplace_back([&, number] {
            for (std::size_t turn = number; base::clock::now() < end; ++turn) {
                world.call({"read-" + std::to_string(next++), "/read/10", 0, {}, turn % entry_count, true});
                std::this_thread::sleep_for(call_interval);
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
}

} // namespace

/// Guards against more repeats at a service than its bound permits, summed over all entries.
class retry_bound_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_bound_test);
    CPPUNIT_TEST(all_entries_together_keep_the_retry_bound_of_a_service);
    CPPUNIT_TEST_SUITE_END();

public:
    void all_entries_together_keep_the_retry_bound_of_a_service() {
        std::vector<bound_row> const table{
            {"no entry has a count from an agent", false, &run_undisturbed},
            {"entries are stopped in series", true, &stop_in_series},
        };
        for_each_row(table, [](bound_row const& row) {
            platform_world world{
                {.entries = entry_count, .engines = 1, .services = service_count, .agents = row.agents}};
            world.act([&] {
                for (auto const& site : world.fleet().targets()) {
                    if (!site->target->where().engine)
                        site->target->set_faults({.failed = failed_share});
                }
            });
            std::atomic<bool> ended{false};
            std::thread disturbance{[&] { row.disturb(world, ended); }};
            send_reads(world, load_time);
            ended = true;
            disturbance.join();
            auto const violations = world.act([&] { return world.ledger().violations(); });
            CPPUNIT_ASSERT_MESSAGE(violations.empty() ? "" : violations.front(), violations.empty());
            // Failed reads are repeated as far as the bound allows.
            auto const retries = world.act([&] { return world.ledger().retries(soak::plain_service); });
            CPPUNIT_ASSERT_MESSAGE(std::to_string(retries), retries >= least_retries);
        });
    }

private:
    static constexpr std::size_t least_retries = 40;
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_bound_test);

} // namespace cyclamenledge::tests::process
