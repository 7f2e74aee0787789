#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;

// Callers send a failed request again, through any entry.
constexpr std::size_t repetitions = 12;
constexpr std::size_t entry_count = 4;
// The product promises that a request which has crashed two targets reaches no third one.
constexpr std::uint32_t permitted_crashes = 2;
// Time for a target that has crashed to be started again, and for its announcement to reach the entries.
constexpr auto restart_time = 1500ms;

struct crashing_row {
    char const* name;
    char const* path;
    std::uint32_t prompt_tokens;
    bool may_run_again;
    std::size_t entries_used;
    /// What happens after the first repetitions, for example a restart of the next entry.
    void (*disturb)(platform_world&);
};

void restart_entry(platform_world& world, std::size_t entry) {
    world.act([&] {
        auto& process = world.fleet().entries().at(entry)->process;
        process.ended_on_purpose = true;
        process.process->kill();
        world.fleet().start_daemon(process);
    });
    world.wait_until_serving(entry);
}

/// Runs that the targets have begun of the requests whose id begins with the text.
std::uint32_t runs_of(platform_world& world, std::string const& prefix) {
    return world.act([&] {
        std::uint32_t runs = 0;
        for (std::size_t number = 0; number < repetitions; ++number) {
            auto const* call = world.ledger().find(prefix + std::to_string(number));
            runs += call == nullptr ? 0 : call->runs + call->resumptions;
        }
        return runs;
    });
}

} // namespace

/// Guards against requests that crash one target after the other, because neither another entry nor a later attempt
/// knows of the earlier crashes.
class crashing_requests_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_requests_test);
    CPPUNIT_TEST(crashing_request_stops_after_two_targets);
    CPPUNIT_TEST(crashes_are_known_to_entries_without_peers);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashing_request_stops_after_two_targets() {
        platform_world world{{.entries = entry_count, .engines = 6, .services = 3}};
        std::vector<crashing_row> const table{
            {"call that may run again", "/read/crash/10", 0, true, entry_count, nullptr},
            {"call that must not run twice", "/order/crash/20", 0, false, entry_count, nullptr},
            {"stream with a replica of its memory", "/gen/crash/30", 200, false, entry_count, nullptr},
            {"resumable stream", "/resume/crash/40", 200, true, entry_count, nullptr},
            {"all attempts through one entry", "/order/crash/50", 0, false, 1, nullptr},
            {"entry that was started after the crashes", "/order/crash/60", 0, false, entry_count,
             [](platform_world& disturbed) {
                 for (std::size_t entry = 0; entry < entry_count; ++entry)
                     restart_entry(disturbed, entry);
             }},
        };
        for_each_row(table, [&](crashing_row const& row) { check_row(world, row); });
    }

    // Guards against entries that learn nothing from each other because their peers cannot be reached.
    void crashes_are_known_to_entries_without_peers() {
        platform_world world{{.entries = entry_count, .engines = 6, .services = 3, .seeds = 0}};
        std::vector<crashing_row> const table{
            {"plain call", "/order/crash/70", 0, false, entry_count, nullptr},
            {"stream", "/gen/crash/80", 200, false, entry_count, nullptr},
        };
        for_each_row(table, [&](crashing_row const& row) { check_row(world, row); });
    }

private:
    static void check_row(platform_world& world, crashing_row const& row) {
        std::string const prefix = std::string{row.path} + "-";
        for (std::size_t number = 0; number < repetitions; ++number) {
            auto const answer = world.call({prefix + std::to_string(number), row.path, row.prompt_tokens,
                                            "the same body", number % row.entries_used, row.may_run_again});
            CPPUNIT_ASSERT(answer.status != 200);
            if (number < 3)
                std::this_thread::sleep_for(restart_time);
            if (number == 3 && row.disturb != nullptr)
                row.disturb(world);
        }
        CPPUNIT_ASSERT_EQUAL(permitted_crashes, runs_of(world, prefix));
        // Other requests of the same caller are served.
        std::this_thread::sleep_for(restart_time);
        for (std::size_t entry = 0; entry < entry_count; ++entry)
            world.wait_until_serving(entry);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_requests_test);

} // namespace cyclamenledge::tests::process
