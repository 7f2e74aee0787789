#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t entry_count = 4;
constexpr std::size_t requests_with_part = 16;
// The product promises that a part which has crashed three targets, one run after the other, reaches no fourth one.
constexpr std::uint32_t permitted_crashes = 3;
// Time for a target that has crashed to be started again, and for its announcement to reach the entries.
constexpr auto restart_time = 1500ms;
constexpr std::uint32_t prompt_tokens = 200;

struct crashing_part_row {
    char const* name;
    char const* route;
    /// Hexadecimal digits that tell the row's part from those of others.
    char const* part;
    bool may_run_again;
    /// What happens after the first requests.
    void (*disturb)(platform_world&);
};

void restart(platform_world& world, soak::daemon& process) {
    world.act([&] {
        process.ended_on_purpose = true;
        process.process->kill();
        world.fleet().start_daemon(process);
    });
}

void restart_entries(platform_world& world) {
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        restart(world, world.fleet().entries().at(entry)->process);
        world.wait_until_serving(entry);
    }
}

void restart_agents(platform_world& world) {
    for (auto const& site : world.fleet().targets()) {
        if (site->agent.process)
            restart(world, site->agent);
    }
    std::this_thread::sleep_for(restart_time);
}

/// A request whose prompt has the part. No two have more than the part in common.
platform_world::caller_request make_crashing(crashing_part_row const& row, std::size_t number) {
    auto const digits = row.part + std::to_string(number);
    platform_world::caller_request request;
    request.id = "crashing-" + digits;
    request.path = row.route + std::to_string(10 + number);
    request.prompt_tokens = prompt_tokens;
    request.entry = number % entry_count;
    request.may_run_again = row.may_run_again;
    // The first part is one of two that sound requests have as well.
    request.prompt_parts =
        "f00" + std::to_string(number % 2) + ":40,dead" + row.part + ":60,ab" + digits + ":30,cd" + digits + ":70";
    return request;
}

/// A sound request of the same caller, with one of the same first parts and a part of its own.
platform_world::caller_request make_sound(crashing_part_row const& row, std::size_t number) {
    auto const digits = row.part + std::to_string(number);
    platform_world::caller_request request;
    request.id = "sound-" + digits;
    request.path = row.route + std::to_string(10 + number);
    request.prompt_tokens = prompt_tokens;
    request.entry = number % entry_count;
    request.may_run_again = row.may_run_again;
    request.prompt_parts = "f00" + std::to_string(number % 2) + ":40,5a" + digits + ":60,ef" + digits + ":100";
    return request;
}

} // namespace

/// Guards against requests that crash one target after the other and have only a part of their prompts in common.
class crashing_parts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_parts_test);
    CPPUNIT_TEST(crashing_part_stops_after_three_targets);
    CPPUNIT_TEST(crashing_part_is_known_to_entries_without_peers);
    CPPUNIT_TEST_SUITE_END();

public:
    void crashing_part_stops_after_three_targets() {
        platform_world world{{.entries = entry_count, .engines = 6, .services = 1}};
        std::vector<crashing_part_row> const table{
            {"stream with a replica of its memory", "/gen/", "01", false, nullptr},
            {"resumable stream", "/resume/", "02", true, nullptr},
            {"entries that were started after the crashes", "/gen/", "03", false, &restart_entries},
            {"agents that were started after the crashes", "/gen/", "04", false, &restart_agents},
        };
        for_each_row(table, [&](crashing_part_row const& row) { check_row(world, row); });
    }

    void crashing_part_is_known_to_entries_without_peers() {
        platform_world world{{.entries = entry_count, .engines = 6, .services = 1, .seeds = 0}};
        check_row(world, {"entries without peers", "/gen/", "05", false, nullptr});
    }

private:
    static void check_row(platform_world& world, crashing_part_row const& row) {
        for (std::size_t number = 0; number < requests_with_part; ++number) {
            auto const answer = world.call(make_crashing(row, number));
            CPPUNIT_ASSERT(answer.status != 200);
            if (number < permitted_crashes + 1)
                std::this_thread::sleep_for(restart_time);
            if (number == permitted_crashes && row.disturb != nullptr)
                row.disturb(world);
        }
        CPPUNIT_ASSERT_EQUAL(permitted_crashes, runs_with_part(world, row));
        std::this_thread::sleep_for(restart_time);
        for (std::size_t number = 0; number < requests_with_part; ++number)
            CPPUNIT_ASSERT_EQUAL(200U, world.call(make_sound(row, number)).status);
    }

    /// Runs that the targets have begun of requests with the row's part.
    static std::uint32_t runs_with_part(platform_world& world, crashing_part_row const& row) {
        return world.act([&] {
            std::uint32_t runs = 0;
            for (std::size_t number = 0; number < requests_with_part; ++number) {
                auto const* call = world.ledger().find(make_crashing(row, number).id);
                runs += call == nullptr ? 0 : call->runs + call->resumptions;
            }
            return runs;
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_parts_test);

} // namespace cyclamenledge::tests::process
