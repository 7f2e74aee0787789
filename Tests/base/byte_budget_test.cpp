#include "base/byte_budget.h"
#include "base/random.h"
#include "support/property.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <vector>

namespace cyclamenledge::tests {

namespace {

constexpr std::size_t limit = 1200;

} // namespace

class byte_budget_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(byte_budget_test);
    CPPUNIT_TEST(growth_is_allowed_up_to_what_stays_free);
    CPPUNIT_TEST(large_holders_leave_room_for_small_ones);
    CPPUNIT_TEST(the_sum_never_exceeds_the_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    void growth_is_allowed_up_to_what_stays_free() {
        struct row {
            char const* name;
            std::size_t others;
            std::size_t before;
            std::size_t wanted;
            bool allowed;
        };
        std::vector<row> const table{
            {"half of an empty budget", 0, 0, 600, true},         {"more than half of it", 0, 0, 601, false},
            {"a third beside a third", 400, 0, 400, true},        {"more than a third", 400, 0, 401, false},
            {"growth counts once", 400, 300, 400, true},          {"growth beyond what is free", 400, 300, 401, false},
            {"less while others hold much", 350, 500, 499, true},
        };
        for_each_row(table, [](row const& tested) {
            base::byte_budget_pointer const budget{new base::byte_budget{limit}};
            base::byte_lease others{budget};
            base::byte_lease own{budget};
            CPPUNIT_ASSERT(own.resize(tested.before) && others.resize(tested.others));
            CPPUNIT_ASSERT_EQUAL(tested.allowed, own.resize(tested.wanted));
            CPPUNIT_ASSERT_EQUAL(tested.allowed ? tested.wanted : tested.before, own.bytes());
            CPPUNIT_ASSERT_EQUAL(own.bytes() + others.bytes(), budget->held());
        });
    }

    // Guards against a few endless answers that make all others fail.
    void large_holders_leave_room_for_small_ones() {
        constexpr std::size_t holders = 9;
        base::byte_budget_pointer const budget{new base::byte_budget{limit}};
        std::vector<base::byte_lease> large;
        for (std::size_t index = 0; index < holders; ++index)
            large.emplace_back(budget);
        for (bool grown = true; grown;) {
            grown = false;
            for (auto& lease : large)
                grown = lease.resize(lease.bytes() + 1) || grown;
        }
        base::byte_lease small{budget};
        CPPUNIT_ASSERT(small.resize(limit / (holders + 1) / 2));
    }

    void the_sum_never_exceeds_the_limit() {
        check_property("sum of leases", [](std::uint64_t seed) {
            base::random_source random{seed};
            base::byte_budget_pointer const budget{new base::byte_budget{limit}};
            {
                std::array<base::byte_lease, 5> leases;
                std::ranges::generate(leases, [&] { return base::byte_lease{budget}; });
                for (int step = 0; step < 200; ++step) {
                    std::ignore = leases.at(random.below(leases.size())).resize(random.below(limit));
                    std::size_t sum = 0;
                    for (auto const& lease : leases)
                        sum += lease.bytes();
                    RC_ASSERT(sum == budget->held());
                    RC_ASSERT(sum <= limit);
                }
            }
            RC_ASSERT(budget->held() == 0);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(byte_budget_test);

} // namespace cyclamenledge::tests
