#include "routing/fleet.h"
#include "routing/subset.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <set>

namespace cyclamenledge::tests {

namespace {

using links = std::set<std::pair<std::string, std::string>>;

struct figures {
    links all;
    std::size_t fewest_links{~std::size_t{0}};
    std::size_t most_links{0};
    std::size_t fewest_entries{~std::size_t{0}};
    std::size_t most_entries{0};
    /// Load per target relative to the mean of its region and service, with equal traffic per entry kept in its region.
    double least_load{1e9};
    double most_load{0};
    std::size_t one_domain{0};
};

figures measure(catalogue::catalogue const& published) {
    figures result;
    std::vector<std::size_t> per_entry(published.entries().size());
    std::map<std::string, double> load;
    for (auto const& service : published.services()) {
        routing::subset const chosen{published, service.name};
        for (auto const degree : chosen.entries_per_target()) {
            result.fewest_entries = std::min(result.fewest_entries, degree);
            result.most_entries = std::max(result.most_entries, degree);
        }
        for (std::size_t i = 0; i < published.entries().size(); ++i) {
            auto const& entry = published.entries()[i];
            auto const& region = published.find_failure_domain(entry.failure_domain)->region;
            std::set<std::string> domains;
            std::vector<std::string> own;
            for (auto const position : chosen.targets_of(entry.name)) {
                auto const& target = published.targets()[position];
                result.all.emplace(entry.name, target.name);
                domains.insert(target.failure_domain);
                if (published.find_failure_domain(target.failure_domain)->region == region)
                    own.push_back(target.name);
                ++per_entry[i];
            }
            for (auto const& name : own)
                load[name] += 1.0 / static_cast<double>(own.size());
            result.one_domain += domains.size() < 2 ? 1 : 0;
        }
    }
    std::map<std::string, std::pair<double, double>> groups;
    auto const group_of = [&](catalogue::target const& target) {
        return target.service + published.find_failure_domain(target.failure_domain)->region;
    };
    for (auto const& target : published.targets()) {
        auto& [sum, count] = groups[group_of(target)];
        sum += load[target.name];
        ++count;
    }
    for (auto const& target : published.targets()) {
        auto const& [sum, count] = groups[group_of(target)];
        result.least_load = std::min(result.least_load, load[target.name] * count / sum);
        result.most_load = std::max(result.most_load, load[target.name] * count / sum);
    }
    result.fewest_links = *std::min_element(per_entry.begin(), per_entry.end());
    result.most_links = *std::max_element(per_entry.begin(), per_entry.end());
    return result;
}

/// Links that appear or disappear and do not involve the item that came or went.
std::size_t moved_links(links const& before, links const& after, std::string const& item) {
    links difference;
    std::set_symmetric_difference(before.begin(), before.end(), after.begin(), after.end(),
                                  std::inserter(difference, difference.end()));
    return static_cast<std::size_t>(std::count_if(difference.begin(), difference.end(), [&](auto const& link) {
        return link.first != item && link.second != item;
    }));
}

} // namespace

class subset_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(subset_test);
    CPPUNIT_TEST(balanced_at_target_size);
    CPPUNIT_TEST(stable_when_one_comes_or_goes);
    CPPUNIT_TEST(small_fleets_are_linked_completely);
    CPPUNIT_TEST(uneven_regions_leave_no_target_alone);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against targets without entries, uneven load, entries with too many links and entries in one domain.
    void balanced_at_target_size() {
        auto const found = measure(*make_catalogue({}));
        std::cout << "\n  subset: links " << found.all.size() << ", per entry " << found.fewest_links << ".."
                  << found.most_links << ", entries per target " << found.fewest_entries << ".." << found.most_entries
                  << ", load per target " << found.least_load << ".." << found.most_load << " of the mean\n";
        CPPUNIT_ASSERT(found.fewest_entries >= 4);
        CPPUNIT_ASSERT(found.most_entries <= 8);
        CPPUNIT_ASSERT(found.fewest_links >= 28 && found.most_links <= 36);
        CPPUNIT_ASSERT(found.least_load >= 0.6 && found.most_load <= 1.4);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, found.one_domain);
    }

    // Guards against a change of one target or entry that moves connections all over the fleet.
    void stable_when_one_comes_or_goes() {
        struct row {
            char const* name;
            fleet changed;
            std::string item;
        };
        fleet without_target;
        without_target.missing_target = 803;
        fleet without_entry;
        without_entry.missing_entry = 77;
        std::vector<row> const table{{"target", without_target, "target-803"}, {"entry", without_entry, "entry-77"}};
        auto const before = measure(*make_catalogue({})).all;
        for_each_row(table, [&](row const& item) {
            auto const moved = moved_links(before, measure(*make_catalogue(item.changed)).all, item.item);
            std::cout << "\n  subset: one " << item.name << " less moves " << moved << " other links of "
                      << before.size() << "\n";
            CPPUNIT_ASSERT(moved * 50 < before.size());
        });
    }

    // Guards against today's fleets of 15 targets where an entry would not use some of them.
    void small_fleets_are_linked_completely() {
        auto const found = measure(*make_catalogue({6, 15, 2, 3, 3}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6 * 15}, found.all.size());
    }

    // Guards against targets without entries when a region has no entry or a fleet has a single region.
    void uneven_regions_leave_no_target_alone() {
        struct row {
            char const* name;
            fleet size;
        };
        std::vector<row> const table{{"regions without entries", {3, 200, 2, 8, 27}},
                                     {"one region", {30, 200, 2, 1, 4}},
                                     {"one domain per region", {30, 200, 2, 3, 3}}};
        for_each_row(table, [&](row const& item) {
            auto const found = measure(*make_catalogue(item.size));
            CPPUNIT_ASSERT(found.fewest_entries >= 2);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, found.one_domain);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(subset_test);

} // namespace cyclamenledge::tests
