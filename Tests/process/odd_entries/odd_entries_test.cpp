#include "support/platform/odd_names.h"
#include "support/platform_process/platform_world.h"
#include "support/platform_process/raw_target.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;
using platform::standin::odd_name;

constexpr std::size_t entry_count = 2;
// Time within which each entry applies a configuration and uses a new target.
constexpr auto change_bound = 2500ms;
// An entry that has started serves within it, also one that cannot read the whole list.
constexpr auto listing_bound = 15s;

char const* const sound_answer = "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Request-Id: ID\r\nX-Response-Stamp: "
                                 "s.ID\r\nContent-Length: 5\r\n\r\nsound";

void restart(platform_world& world, soak::daemon& process) {
    process.ended_on_purpose = true;
    process.process->kill();
    world.fleet().start_daemon(process);
}

} // namespace

/// Guards against entries in the store whose names come from another writer and stop the service.
class odd_entries_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(odd_entries_test);
    CPPUNIT_TEST(service_goes_on_beside_odd_entries);
    CPPUNIT_TEST(names_of_targets_add_no_headers);
    CPPUNIT_TEST(lists_with_a_gap_are_used_and_completed);
    CPPUNIT_TEST_SUITE_END();

public:
    // A process lists the store when it starts, and each key is the last one of a page here.
    void service_goes_on_beside_odd_entries() {
        struct row {
            char const* name;
            std::vector<odd_name> odd;
            bool target;
        };
        auto const all = platform::standin::odd_names();
        // A listing goes on behind the odd name only if something follows.
        odd_name const last{"last", "zz-last"};
        std::vector<row> const table{
            {"ampersand in a target's name", {all.front(), last}, true},
            {"ampersand in an evacuation's name", {all.front(), last}, false},
            {"every odd name of a target", all, true},
            {"every odd name of an evacuation", all, false},
        };
        platform_world world{{.entries = entry_count, .engines = 2, .services = 2}};
        world.act([&] { world.fleet().store().set_page_size(1); });
        for_each_row(table, [&](row const& tested) {
            world.act([&] {
                for (auto const& odd : tested.odd)
                    put(world, tested.target, odd.text);
                for (auto const& entry : world.fleet().entries())
                    restart(world, entry->process);
                for (auto const& site : world.fleet().targets()) {
                    if (site->agent.process)
                        restart(world, site->agent);
                }
            });
            for (std::size_t entry = 0; entry < entry_count; ++entry)
                world.wait_until_serving(entry);
            check_calls(world);
            check_changes_are_followed(world);
            world.act([&] {
                CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.fleet().store().malformed_calls());
                for (auto const& odd : tested.odd)
                    remove(world, tested.target, odd.text);
                auto const violations = world.ledger().violations();
                CPPUNIT_ASSERT_EQUAL(std::string{}, violations.empty() ? "" : violations.front());
            });
        });
    }

    // Requests name their target in a header, and each of these entries holds the whole document of a target that
    // serves.
    void names_of_targets_add_no_headers() {
        constexpr int call_count = 60;
        platform_world world{{.entries = 1, .engines = 1, .services = 1}};
        raw_target service{soak::plain_service, sound_answer, answer_end::close};
        world.act([&] {
            for (auto const& site : world.fleet().targets())
                world.fleet().withdraw(*site);
            world.fleet().store().put_target("sound", service.announcement());
            for (auto const& odd : platform::standin::odd_names()) {
                if (!odd.may_name_a_target)
                    world.fleet().store().put_target(odd.text, service.announcement());
            }
        });
        std::this_thread::sleep_for(change_bound);
        for (int number = 0; number < call_count; ++number)
            CPPUNIT_ASSERT_EQUAL(200U, status_of(world, 0, "/order/1"));
        CPPUNIT_ASSERT(service.received("X-Expect-Instance: sound\r\n"));
        CPPUNIT_ASSERT(!service.received("\r\nX-Injected"));
        CPPUNIT_ASSERT(!service.received("X-Expect-Instance: i-a"));
        CPPUNIT_ASSERT(!service.received("X-Expect-Instance: \r\n"));
    }

    // An entry that starts has nothing else to go by than the pages before the gap and what is written from then on.
    void lists_with_a_gap_are_used_and_completed() {
        platform_world world{{.entries = entry_count, .engines = 1, .services = 1, .seeds = 1}};
        raw_target first{soak::plain_service, sound_answer, answer_end::close};
        raw_target behind{soak::plain_service, sound_answer, answer_end::close};
        raw_target written_later{soak::plain_service, sound_answer, answer_end::close};
        world.act([&] {
            auto& store = world.fleet().store();
            for (auto const& site : world.fleet().targets())
                world.fleet().withdraw(*site);
            store.put_target("a", first.announcement());
            store.put_target("b", behind.announcement());
            store.put_target("c", written_later.announcement());
            store.set_page_size(1);
            store.break_listings_behind("servers/a");
            for (auto const& entry : world.fleet().entries())
                restart(world, entry->process);
        });
        call_until_reached(world, first);
        world.act([&] { world.fleet().store().put_target("c", written_later.announcement()); });
        call_until_reached(world, written_later);
        CPPUNIT_ASSERT_EQUAL(0, behind.requests());
        check_changes_are_followed(world);
        world.act([&] { world.fleet().store().break_listings_behind(std::nullopt); });
        call_until_reached(world, behind);
    }

private:
    static void put(platform_world& world, bool target, std::string const& name) {
        if (target)
            world.fleet().store().put_target(name, "{}");
        else
            world.fleet().store().put_evacuation(name);
    }

    static void remove(platform_world& world, bool target, std::string const& name) {
        if (target)
            world.fleet().store().remove_target(name);
        else
            world.fleet().store().remove_evacuation(name);
    }

    static unsigned status_of(platform_world& world, std::size_t entry, std::string const& path) {
        static std::uint64_t next = 0;
        auto const prompt_tokens = path.starts_with("/gen/") ? 100U : 0U;
        bool const may_run_again = path.starts_with("/read/") || path.starts_with("/v");
        return world.call({"call-" + std::to_string(next++), path, prompt_tokens, {}, entry, may_run_again}).status;
    }

    static void check_calls(platform_world& world) {
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            for (std::string const path : {"/gen/2", "/read/10", "/order/10"})
                CPPUNIT_ASSERT_EQUAL(200U, status_of(world, entry, path));
        }
    }

    /// Calls each entry until the target has received a request from it.
    static void call_until_reached(platform_world& world, raw_target const& target) {
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            auto const until = base::clock::now() + listing_bound;
            for (auto const before = target.requests(); target.requests() == before;) {
                CPPUNIT_ASSERT_MESSAGE("entry " + std::to_string(entry) + " does not use the target",
                                       base::clock::now() < until);
                status_of(world, entry, "/order/1");
                std::this_thread::sleep_for(20ms);
            }
        }
    }

    /// The changes are made while the odd entries stand, and read by watches.
    static void check_changes_are_followed(platform_world& world) {
        auto const version = world.act([&] {
            world.fleet().publish_configuration();
            return world.fleet().version();
        });
        auto const until = base::clock::now() + change_bound;
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            while (status_of(world, entry, "/v" + std::to_string(version) + "/10") != 200) {
                CPPUNIT_ASSERT_MESSAGE("entry " + std::to_string(entry) + " does not follow the configuration",
                                       base::clock::now() < until);
                std::this_thread::sleep_for(50ms);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

} // namespace cyclamenledge::tests::process
