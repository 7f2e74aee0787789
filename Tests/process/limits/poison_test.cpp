#include "process/limits/fleet.h"

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <iostream>
#include <vector>

namespace cyclamenledge::tests {

class poison_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(poison_test);
    CPPUNIT_TEST(crashing_prompt_stops_after_two_targets);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that crashes every target in turn, and against blaming other requests for it.
    void crashing_prompt_stops_after_two_targets() {
        constexpr std::size_t targets = 4;
        // With a limit, the entries have a link for credit, over which notices travel.
        fleet system{4, 2, targets, {{"big", "", 1000, 0}}};
        for (std::size_t i = 0; i < targets; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, system.ask_engine(i, "POST", "/faults", R"({"crash_on":"poison"})")->status);
        for (std::size_t from = 0; from < 2; ++from)
            fleet::wait_until("an ordinary request is served", [&] {
                auto const answer = system.complete(from, "big", "innocent length=4");
                return answer && answer->status == 200;
            });
        std::vector<std::uint64_t> before;
        for (std::size_t i = 0; i < targets; ++i)
            before.push_back(incarnation_of(system, i));
        std::size_t refused = 0;
        for (std::size_t i = 0; i < 20; ++i) {
            auto const answer = system.complete(i % 2, "big", "poison length=4");
            CPPUNIT_ASSERT(answer && answer->status != 200);
            refused += answer->body.find("poison_request") != std::string::npos ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE("refused before any attempt", refused > 0);
        std::size_t crashed = 0;
        for (std::size_t i = 0; i < targets; ++i)
            crashed += incarnation_of(system, i) != before.at(i) ? 1 : 0;
        std::cout << "\n  targets crashed: " << crashed << " of " << targets << ", refused " << refused << " of 20\n";
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashed);
        fleet::wait_until("an ordinary request is served again", [&] {
            auto const answer = system.complete(0, "big", "innocent length=4");
            return answer && answer->status == 200;
        });
    }

private:
    /// Waits until the engine answers, which it does not between a crash and its restart.
    static std::uint64_t incarnation_of(fleet& system, std::size_t engine) {
        std::uint64_t incarnation = 0;
        fleet::wait_until("the engine answers", [&] {
            auto const load = system.ask_engine(engine, "GET", "/v1/load", "");
            if (!load || load->status != 200)
                return false;
            incarnation = boost::json::parse(load->body).at("incarnation").to_number<std::uint64_t>();
            return true;
        });
        return incarnation;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(poison_test);

} // namespace cyclamenledge::tests
