#include "support/platform_process/platform_world.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

constexpr std::size_t streams = 12;

std::string name_of(std::size_t number) {
    return "stream-" + std::to_string(number);
}

} // namespace

class repeated_copy_answers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(repeated_copy_answers_test);
    CPPUNIT_TEST(streams_go_on_from_their_own_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second, late answer to a copy command that is taken for the answer to another stream's command,
    // so that the stream goes on from the memory of the other one.
    void streams_go_on_from_their_own_memory() {
        platform_world world{{.entries = 1, .engines = 4, .services = 1}};
        world.act([&] {
            for (auto const& site : world.fleet().targets())
                site->target->set_faults({.copy_answers_repeated = true});
        });
        std::vector<std::string> served(streams);
        {
            std::vector<std::jthread> callers;
            for (std::size_t number = 0; number < streams; ++number)
                callers.emplace_back([&, number] {
                    served.at(number) = world.call({name_of(number), "/gen/160", 200}).body;
                });
            std::this_thread::sleep_for(std::chrono::milliseconds{700});
            leave_busiest_engine(world);
        }
        std::size_t moved = 0;
        for (std::size_t number = 0; number < streams; ++number) {
            auto const call = world.act([&] { return *world.ledger().find(name_of(number)); });
            moved += call.resumptions > 0 ? 1 : 0;
            CPPUNIT_ASSERT_MESSAGE("the stream is not complete:\n" + world.trace(name_of(number)),
                                   served.at(number).find("id: 160\n") != std::string::npos);
        }
        auto const violations = world.act([&] { return world.ledger().violations(); });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(violations.empty() ? "" : violations.front(), std::size_t{0}, violations.size());
        CPPUNIT_ASSERT_MESSAGE("fewer than two streams were moved", moved >= 2);
    }

private:
    static void leave_busiest_engine(platform_world& world) {
        world.act([&] {
            auto const streams_at = [](auto const& site) {
                std::size_t count = 0;
                for (std::size_t number = 0; number < streams; ++number)
                    count += site->target->running(name_of(number)) ? 1 : 0;
                return count;
            };
            auto const& sites = world.fleet().targets();
            auto const busiest = std::ranges::max_element(sites, {}, streams_at);
            (*busiest)->target->leave(std::chrono::seconds{10});
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeated_copy_answers_test);

} // namespace cyclamenledge::tests::process
