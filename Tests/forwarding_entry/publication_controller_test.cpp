#include "forwarding/fleet_fixture.h"
#include "forwarding_entry/publication_controller.h"
#include "support/platform/caller_messages.h"
#include "support/platform/odd_names.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

publication configuration(std::uint64_t version, store_revision revision) {
    return {publication_kind::configuration,
            "",
            revision,
            false,
            platform::standin::encode_configuration(version, "host", "key", {}, {"orders"}),
            0};
}

publication target(store_revision revision, char const* state, int sequence, bool removed = false, int born = 5) {
    auto const text =
        std::string{R"({"service":"orders","address":"127.0.0.1:1","zone":"north-a","slots":6,"state":")"} + state +
        R"(","born":)" + std::to_string(born) + R"(,"seq":)" + std::to_string(sequence) + "}";
    return {publication_kind::target, "t", revision, removed, removed ? "" : text, 0};
}

publication evacuation(store_revision revision, bool removed = false) {
    return {publication_kind::evacuation, "north-a", revision, removed, "{}", 0};
}

publication_listing listing(store_revision as_of, std::vector<publication> items) {
    return {{publication_kind::configuration, publication_kind::evacuation, publication_kind::target},
            as_of,
            std::move(items)};
}

struct world {
    forwarding_entry::blackboard board{make_fleet(), retry_bound{}};
    metrics::registry metrics;
    forwarding_entry::publication_controller controller{board, metrics};

    bool usable() const { return board.fleet.may_receive("t", base::clock::now()); }
    bool evacuated() const { return board.fleet.evacuated("north-a"); }
};

} // namespace

/// Guards against a store that comes back from an earlier copy and makes entries forget what they know.
class publication_controller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(publication_controller_test);
    CPPUNIT_TEST(configuration_in_force_does_not_revert);
    CPPUNIT_TEST(targets_that_left_are_not_used_again);
    CPPUNIT_TEST(earlier_incarnations_do_not_return);
    CPPUNIT_TEST(evacuations_outlast_a_restored_store);
    CPPUNIT_TEST(odd_entries_of_another_writer_lose_no_target);
    CPPUNIT_TEST(names_that_no_target_can_have_are_ignored);
    CPPUNIT_TEST_SUITE_END();

public:
    void configuration_in_force_does_not_revert() {
        world played;
        played.controller.apply({configuration(4, {1, 20})}, "store");
        played.controller.apply({configuration(9, {1, 30})}, "store");
        played.controller.reconcile(listing({2, 21}, {configuration(4, {2, 20})}), "store");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, played.board.routes->version());
        played.controller.apply({configuration(11, {2, 25})}, "store");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, played.board.routes->version());
    }

    void targets_that_left_are_not_used_again() {
        struct row {
            char const* name;
            /// Known before the store came back.
            std::vector<publication> before;
            std::vector<publication> copy;
            /// Written after it came back.
            std::vector<publication> after;
            bool usable;
            /// The same, once the store has not removed what it lists.
            bool usable_later;
        };
        publication const ready_before = target({1, 20}, "ready", 3);
        publication const ready_in_copy = target({2, 20}, "ready", 3);
        std::vector<row> const table{
            {"serving", {ready_before}, {ready_in_copy}, {}, true, true},
            {"draining", {ready_before, target({1, 30}, "draining", 8)}, {ready_in_copy}, {}, false, false},
            {"draining, without numbers",
             {target({1, 20}, "ready", 0), target({1, 30}, "draining", 0)},
             {target({2, 20}, "ready", 0)},
             {},
             false,
             false},
            {"draining, written again",
             {ready_before, target({1, 30}, "draining", 8)},
             {ready_in_copy},
             {target({2, 24}, "draining", 9)},
             false,
             false},
            {"removed", {ready_before, target({1, 30}, "", 0, true)}, {ready_in_copy}, {}, false, true},
            {"removed in the copy's time too",
             {ready_before, target({1, 30}, "", 0, true)},
             {ready_in_copy},
             {target({2, 24}, "", 0, true)},
             false,
             false},
            {"removed, but announced again",
             {ready_before, target({1, 30}, "", 0, true)},
             {ready_in_copy},
             {target({2, 24}, "ready", 9)},
             true,
             true},
            {"announced after the copy was made, not again yet", {target({1, 30}, "ready", 3)}, {}, {}, true, true},
        };
        for_each_row(table, [](row const& tested) {
            world played;
            played.controller.apply(tested.before, "store");
            played.controller.reconcile(listing({2, 21}, tested.copy), "store");
            played.controller.apply(tested.after, "store");
            CPPUNIT_ASSERT_EQUAL(tested.usable, played.usable());
            played.controller.expire(base::clock::now() + 6s);
            CPPUNIT_ASSERT_EQUAL(tested.usable_later, played.usable());
        });
    }

    void earlier_incarnations_do_not_return() {
        world played;
        played.controller.apply({target({1, 20}, "ready", 3)}, "store");
        played.controller.apply({target({1, 30}, "ready", 1, false, 6)}, "store");
        played.controller.reconcile(listing({2, 21}, {target({2, 20}, "ready", 3)}), "store");
        played.controller.expire(base::clock::now() + 6s);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, played.board.fleet.find("t")->record.started_at);
    }

    /// Guards against a running target that stays unused because another writer has stored something under its id.
    void odd_entries_of_another_writer_lose_no_target() {
        struct row {
            char const* name;
            char const* text;
        };
        std::vector<row> const table{
            {"not JSON", "odd"},
            {"number too large", R"({"service":"orders","address":"127.0.0.1:1","zone":"north-a","slots":6,)"
                                 R"("state":"ready","born":5,"seq":1e300})"},
            {"large number", R"({"service":"orders","address":"127.0.0.1:1","zone":"north-a","slots":6,)"
                             R"("state":"ready","born":5,"seq":9000000000000000000})"},
        };
        for_each_row(table, [](row const& tested) {
            world played;
            played.controller.apply({target({1, 20}, "ready", 3)}, "store");
            played.controller.apply({{publication_kind::target, "t", {1, 21}, false, tested.text, 0}}, "store");
            played.controller.apply({target({1, 22}, "ready", 4)}, "store");
            CPPUNIT_ASSERT(played.usable());
            played.controller.apply({target({1, 23}, "draining", 5)}, "store");
            CPPUNIT_ASSERT(!played.usable());
        });
    }

    /// Guards against a name that ends a header of a request, so that its writer adds headers. Listings, watches and
    /// peers bring such names.
    void names_that_no_target_can_have_are_ignored() {
        auto names = platform::standin::odd_names();
        names.push_back({"bytes that are not UTF-8", "i-\xff\xfe", false});
        for_each_row(names, [](platform::standin::odd_name const& tested) {
            world played;
            auto announced = target({1, 20}, "ready", 3);
            announced.name = tested.text;
            played.controller.reconcile(listing({1, 20}, {announced}), "store");
            announced.revision = {1, 21};
            played.controller.apply({announced}, "store");
            announced.revision = {1, 22};
            played.controller.apply({announced}, "peer");
            auto const now = base::clock::now();
            CPPUNIT_ASSERT_EQUAL(tested.may_name_a_target, played.board.fleet.may_receive(tested.text, now));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{tested.may_name_a_target ? 0U : 3U},
                                 played.metrics.value(metrics::counter_kind::announcements_ignored));
        });
    }

    void evacuations_outlast_a_restored_store() {
        struct row {
            char const* name;
            std::vector<publication> before;
            std::vector<publication> copy;
            std::vector<publication> after;
            bool evacuated;
            bool evacuated_later;
        };
        std::vector<row> const table{
            {"in the copy", {evacuation({1, 20})}, {evacuation({2, 20})}, {}, true, true},
            {"lost", {evacuation({1, 30})}, {}, {}, true, false},
            {"lost and written again", {evacuation({1, 30})}, {}, {evacuation({2, 25})}, true, true},
            {"taken back, but in the copy",
             {evacuation({1, 20}), evacuation({1, 30}, true)},
             {evacuation({2, 20})},
             {},
             true,
             true},
            {"taken back and taken back again",
             {evacuation({1, 20}), evacuation({1, 30}, true)},
             {evacuation({2, 20})},
             {evacuation({2, 25}, true)},
             false,
             false},
        };
        for_each_row(table, [](row const& tested) {
            world played;
            played.controller.apply(tested.before, "store");
            // The parts of the store are listed one after the other.
            played.controller.reconcile({{publication_kind::target}, {2, 20}, {}}, "store");
            played.controller.reconcile({{publication_kind::evacuation}, {2, 21}, tested.copy}, "store");
            played.controller.apply(tested.after, "store");
            CPPUNIT_ASSERT_EQUAL(tested.evacuated, played.evacuated());
            played.controller.expire(base::clock::now() + 11s);
            CPPUNIT_ASSERT_EQUAL(tested.evacuated_later, played.evacuated());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(publication_controller_test);

} // namespace cyclamenledge::tests
