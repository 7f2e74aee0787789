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
constexpr std::size_t seed_count = 3;
// An entry that follows the seeds.
constexpr std::size_t follower = 3;
// Time within which each entry that the store answers applies a configuration and stops using a removed target.
constexpr auto change_bound = 2500ms;
// Until every entry follows the seeds.
constexpr auto settling_time = 3s;

enum class store_fault : std::uint8_t { none, seeds_silent, seeds_closed, outage, watches_cut };

} // namespace

/// Guards against an entry that follows the seeds and takes what they knew some time ago for the present state.
class store_relays_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_relays_test);
    CPPUNIT_TEST(follower_applies_configurations_in_time);
    CPPUNIT_TEST(removed_targets_are_left_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The seeds lose the store shortly before the change, while it answers the entry that follows them.
    void follower_applies_configurations_in_time() {
        struct row {
            char const* name;
            store_fault fault;
        };
        std::vector<row> const table{
            {"the store does not answer the seeds", store_fault::seeds_silent},
            {"the store closes the connections of the seeds", store_fault::seeds_closed},
        };
        platform_world world{size()};
        for_each_row(table, [&](row const& tested) {
            std::this_thread::sleep_for(settling_time);
            world.act([&] { world.fleet().publish_configuration(); });
            std::this_thread::sleep_for(300ms);
            begin(world, tested.fault);
            std::this_thread::sleep_for(100ms);
            auto const version = world.act([&] {
                world.fleet().publish_configuration();
                return world.fleet().version();
            });
            auto const until = base::clock::now() + change_bound;
            unsigned status = 0;
            while (status != 200 && base::clock::now() < until) {
                status = call(world, follower, "/v" + std::to_string(version) + "/10");
                std::this_thread::sleep_for(20ms);
            }
            CPPUNIT_ASSERT_EQUAL(200U, status);
            end(world, tested.fault);
        });
    }

    /// The target goes on serving, so that only what entries know keeps requests away from it.
    void removed_targets_are_left_in_time() {
        struct row {
            char const* name;
            store_fault fault;
            std::chrono::milliseconds length;
            /// From the end of the fault to the removal.
            std::chrono::milliseconds removed_after;
        };
        std::vector<row> const table{
            {"no fault", store_fault::none, 0ms, 500ms},
            {"long after an outage of the store", store_fault::outage, 4500ms, 7s},
            {"shortly after all watches were cut", store_fault::watches_cut, 0ms, 700ms},
        };
        platform_world world{size()};
        std::size_t leaver = 2;
        for_each_row(table, [&](row const& tested) {
            std::this_thread::sleep_for(settling_time);
            begin(world, tested.fault);
            std::this_thread::sleep_for(tested.length);
            end(world, tested.fault);
            std::this_thread::sleep_for(tested.removed_after);
            // The entries that read the store wait before they read the next changes.
            world.act([&] { world.fleet().announce(*world.fleet().targets().front()); });
            std::this_thread::sleep_for(100ms);
            auto& site = *world.fleet().targets().at(leaver++);
            world.act([&] {
                world.fleet().withdraw(site);
                world.ledger().close_target(site.target->id(), base::clock::now());
            });
            for (auto const until = base::clock::now() + 3500ms; base::clock::now() < until;) {
                for (std::size_t entry = 0; entry < entry_count; ++entry)
                    CPPUNIT_ASSERT_EQUAL(200U, call(world, entry, "/read/10"));
            }
            auto const violations = world.act([&] { return world.ledger().violations(); });
            CPPUNIT_ASSERT_EQUAL(std::string{}, violations.empty() ? "" : violations.front());
        });
    }

private:
    static soak::fleet_size size() {
        return {.entries = entry_count, .engines = 2, .services = 4, .seeds = seed_count};
    }

    static unsigned call(platform_world& world, std::size_t entry, std::string const& path) {
        static std::uint64_t next = 0;
        return world.call({"call-" + std::to_string(next++), path, 0, {}, entry, true}).status;
    }

    static void set_proxies(platform_world& world, soak::proxy_mode mode) {
        for (std::size_t seed = 0; seed < seed_count; ++seed)
            world.fleet().entries().at(seed)->store_proxy->set_mode(mode);
    }

    static void begin(platform_world& world, store_fault fault) {
        world.act([&] {
            using enum store_fault;
            if (fault == seeds_silent)
                set_proxies(world, soak::proxy_mode::silence);
            else if (fault == seeds_closed)
                set_proxies(world, soak::proxy_mode::close);
            else if (fault == outage)
                world.fleet().store().set_mode(platform::standin::store_mode::refusing);
            else if (fault == watches_cut)
                for (auto const& entry : world.fleet().entries())
                    entry->store_proxy->reset_connections();
        });
    }

    static void end(platform_world& world, store_fault) {
        world.act([&] {
            set_proxies(world, soak::proxy_mode::pass);
            world.fleet().store().set_mode(platform::standin::store_mode::serving);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_relays_test);

} // namespace cyclamenledge::tests::process
