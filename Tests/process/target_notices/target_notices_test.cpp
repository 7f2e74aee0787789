#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t entry_count = 4;
constexpr std::size_t engine_count = 3;
constexpr std::size_t service_count = 3;
constexpr std::size_t caller_count = 8;
constexpr auto call_interval = 50ms;
// Each entry has heard the notice after this time, and the bound for new requests ends with it.
constexpr auto leaving_time = 4s;
constexpr auto judged_time = 2s;
constexpr base::milliseconds turn_away_length{3000};
// From the notice until every entry has heard it.
constexpr auto hearing_time = 500ms;
// A refusal does not wait, apart from the transfer and a full processor.
constexpr auto prompt_refusal = 700ms;
// The daemons write their lines a moment after they answer.
constexpr auto output_time = 300ms;

struct call_result {
    base::time_point began;
    base::time_point ended;
    unsigned status{0};
    double return_seconds{0};
};

struct notice_row {
    char const* name;
    char const* path;
    std::uint32_t prompt_tokens;
    bool may_run_again;
    std::size_t targets;
    /// Whether the refusals state that the request has not run.
    bool states_not_run;
};

/// Sends calls from several callers at once for the given time.
std::vector<call_result> send_calls(platform_world& world, notice_row const& row, base::duration length) {
    static std::atomic<std::uint64_t> next{0};
    std::vector<call_result> results;
    std::mutex mutex;
    std::vector<std::thread> callers;
    auto const end = base::clock::now() + length;
    for (std::size_t number = 0; number < caller_count; ++number) {
        callers.emplace_back([&, number] {
            while (base::clock::now() < end) {
                call_result result;
                result.began = base::clock::now();
                auto const answer = world.call({"notice-" + std::to_string(next++),
                                                row.path,
                                                row.prompt_tokens,
                                                {},
                                                number % entry_count,
                                                row.may_run_again});
                result.ended = base::clock::now();
                result.status = answer.status;
                auto const text = answer.header("Retry-After");
                std::from_chars(text.data(), text.data() + text.size(), result.return_seconds);
                {
                    std::lock_guard const lock{mutex};
                    results.push_back(result);
                }
                std::this_thread::sleep_for(call_interval);
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    return results;
}

std::size_t count(std::vector<call_result> const& results, unsigned status) {
    return static_cast<std::size_t>(std::ranges::count(results, status, &call_result::status));
}

std::string describe(std::vector<call_result> const& results) {
    std::map<unsigned, std::size_t> by_status;
    for (auto const& result : results)
        ++by_status[result.status];
    std::string text;
    for (auto const& [status, number] : by_status)
        text += std::to_string(number) + " with " + std::to_string(status) + ", ";
    return text;
}

/// The first targets of the kind that serves the path.
std::vector<soak::target_site*> choose_targets(platform_world& world, notice_row const& row) {
    std::vector<soak::target_site*> chosen;
    for (auto const& site : world.fleet().targets()) {
        if (site->target->where().engine == (row.prompt_tokens > 0) && chosen.size() < row.targets)
            chosen.push_back(site.get());
    }
    return chosen;
}

std::size_t count_lines(platform_world& world, std::string const& event, std::string const& target) {
    std::this_thread::sleep_for(output_time);
    std::size_t found = 0;
    for (auto const& item : std::filesystem::directory_iterator{world.fleet().output_folder()}) {
        std::ifstream output{item.path()};
        for (std::string line; std::getline(output, line);) {
            bool const wanted = line.find("\"" + event + "\"") != std::string::npos;
            found += wanted && line.find("\"" + target + "\"") != std::string::npos ? 1 : 0;
        }
    }
    return found;
}

std::size_t arrivals(platform_world& world, std::string const& id) {
    return world.act([&] { return world.ledger().notices().arrivals(id); });
}

void check_ledger(platform_world& world) {
    auto const violations = world.act([&] { return world.ledger().violations(); });
    CPPUNIT_ASSERT_MESSAGE(
        violations.empty() ? "" : std::to_string(violations.size()) + " violations, first: " + violations.front(),
        violations.empty());
}

} // namespace

/// Guards against notices in the answers of targets that entries do not read.
class target_notices_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_notices_test);
    CPPUNIT_TEST(targets_that_say_that_they_leave_get_nothing_new);
    CPPUNIT_TEST(targets_that_turn_requests_away_get_none_until_the_end_of_the_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void targets_that_say_that_they_leave_get_nothing_new() {
        std::vector<notice_row> const table{
            {"calls", "/order/10", 0, false, 1, true},
            {"streams", "/gen/4", 100, false, 1, true},
            {"long streams", "/gen/60", 100, false, 1, true},
        };
        platform_world world{{.entries = entry_count, .engines = engine_count, .services = service_count}};
        for_each_row(table, [&](notice_row const& row) {
            auto* site = choose_targets(world, row).front();
            auto const id = world.act([&] {
                site->target->say_leaving(true);
                return site->target->id();
            });
            std::atomic<bool> ended{false};
            std::thread listing{[&] {
                while (!ended) {
                    // The store goes on listing it as ready.
                    world.act([&] { world.fleet().announce(*site); });
                    std::this_thread::sleep_for(100ms);
                }
            }};
            auto const results = send_calls(world, row, leaving_time + judged_time);
            auto const late = world.act([&] { return world.ledger().notices().arrivals_after_leaving(id); });
            ended = true;
            listing.join();
            check_ledger(world);
            // An entry learns that the target leaves from its own answers, so another one may send its first later.
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, late);
            CPPUNIT_ASSERT_MESSAGE(describe(results), count(results, 200) >= results.size() * 99 / 100);
            // Entries of another region may never have chosen it.
            CPPUNIT_ASSERT(count_lines(world, "target_leaving", id) > 0);
            check_new_incarnation(world, row, *site);
        });
    }

    void targets_that_turn_requests_away_get_none_until_the_end_of_the_time() {
        std::vector<notice_row> const table{
            {"calls, others take them", "/order/10", 0, false, 1, true},
            {"calls that may run again, no statement", "/read/10", 0, true, 1, false},
            {"streams, others take them", "/gen/4", 100, false, 1, true},
            {"calls, no target takes them", "/order/10", 0, false, service_count, true},
            {"calls, no statement, no target takes them", "/order/10", 0, false, service_count, false},
            {"streams, no target takes them", "/gen/4", 100, false, engine_count, true},
        };
        platform_world world{{.entries = entry_count, .engines = engine_count, .services = service_count}};
        for_each_row(table, [&](notice_row const& row) {
            auto const sites = choose_targets(world, row);
            auto const until = world.act([&] {
                for (auto* site : sites)
                    site->target->turn_away({turn_away_length, row.states_not_run});
                return base::clock::now() + turn_away_length;
            });
            auto const heard = base::clock::now() + hearing_time;
            auto const results = send_calls(world, row, turn_away_length - 200ms);
            check_ledger(world);
            bool const others = row.targets < service_count;
            // A repeat takes from the retry budget, so callers may lose the call whose answer brings the notice.
            if (others)
                CPPUNIT_ASSERT_MESSAGE(describe(results), count(results, 200) + caller_count >= results.size());
            else
                check_refusals(row, results, heard, until);
            std::this_thread::sleep_until(until + output_time);
            for (auto* site : sites) {
                auto const id = world.act([&] { return site->target->id(); });
                // Such a target is not sick.
                CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_lines(world, "target_health_changed", id));
                // Entries of another region may never have chosen it.
                CPPUNIT_ASSERT(count_lines(world, "target_hold_off", id) > 0);
            }
            // It takes its part again.
            auto const id = world.act([&] { return sites.front()->target->id(); });
            auto const before = arrivals(world, id);
            auto const served = send_calls(world, row, judged_time);
            CPPUNIT_ASSERT_MESSAGE(describe(served), count(served, 200) == served.size());
            CPPUNIT_ASSERT(arrivals(world, id) > before);
        });
    }

private:
    static void check_new_incarnation(platform_world& world, notice_row const& row, soak::target_site& site) {
        world.act([&] {
            site.target->crash();
            world.fleet().withdraw(site);
        });
        // The address is free once the loop has closed the old listener.
        std::this_thread::sleep_for(output_time);
        world.act([&] { world.fleet().restart(site); });
        // A new engine is used once its agent has reported.
        std::this_thread::sleep_for(2s);
        auto const id = world.act([&] { return site.target->id(); });
        send_calls(world, row, judged_time);
        CPPUNIT_ASSERT(arrivals(world, id) > 0);
    }

    /// Whoever is refused while no target takes requests is told a time after which they do.
    static void check_refusals(notice_row const& row, std::vector<call_result> const& results, base::time_point heard,
                               base::time_point until) {
        constexpr auto rounding = 20ms;
        std::size_t judged = 0;
        for (auto const& result : results) {
            if (result.began < heard || result.status != 503)
                continue;
            ++judged;
            CPPUNIT_ASSERT(result.ended - result.began < prompt_refusal);
            auto const returns = result.ended + base::from_seconds(result.return_seconds);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(base::to_seconds(until - returns)) + " s early",
                                   returns + rounding >= until);
        }
        CPPUNIT_ASSERT_MESSAGE(describe(results) + row.path, judged > caller_count);
        // Each entry may have learned of each target by a call whose outcome it does not know.
        auto const unknown = row.states_not_run ? 0 : entry_count * caller_count;
        CPPUNIT_ASSERT_MESSAGE(describe(results), count(results, 502) <= unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_notices_test);

} // namespace cyclamenledge::tests::process
