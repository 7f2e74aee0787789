#include "catalogue/catalogue_difference.h"
#include "catalogue/catalogue_reader.h"
#include "catalogue/document.h"
#include "support/malformed_document.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using catalogue::change_kind;

catalogue::catalogue_pointer read(std::string const& text) {
    auto const found = catalogue::check_catalogue(text, "test.yaml");
    CPPUNIT_ASSERT_MESSAGE(found.errors.empty() ? "" : to_text(found.errors.front()), found.value.has_value());
    return *found.value;
}

std::string list(std::vector<catalogue::difference> const& found) {
    std::string text;
    for (auto const& each : found)
        text += to_text(each) + "\n";
    return text;
}

constexpr std::string_view new_target = "  - {name: wording-2, service: wording, failure_domain: north-a, vm: vm-9, "
                                        "agent_address: \"127.0.0.1:9009\", memory_tokens: 50000}\nentries:\n";

/// An edit of the valid catalogue, published with the next revision, and the differences as operators read them.
struct edited_catalogue {
    std::string_view name;
    std::string_view from;
    std::string_view to;
    std::string text;
};

std::vector<edited_catalogue> const edited{
    {"nothing else", "rules: 1", "rules: 1", ""},
    {"other spelling of a default", "vm: vm-1,", "vm: vm-1, state: in_service, fencing: ignored,", ""},
    {"list in another order", "services: [wording, orders]", "services: [orders, wording]", ""},
    {"target that is added", "entries:\n", new_target,
     "service wording: changed\n"
     "  targets in service: 1 -> 2\n"
     "  services affected: wording\n"
     "  organisations affected: branch, head\n"
     "target wording-2: added\n"
     "  effect: it takes new work\n"
     "  services affected: wording\n"
     "  organisations affected: branch, head\n"},
    {"failure domain that returns", "South, state: out_of_service", "South",
     "failure domain south-a: changed\n"
     "  state: out_of_service -> in_service\n"
     "  effect: targets that take new work again: 1\n"
     "  services affected: orders\n"
     "  organisations affected: head\n"
     "service orders: changed\n"
     "  targets in service: 1 -> 2\n"
     "  services affected: orders\n"
     "  organisations affected: head\n"},
    {"last target that is taken out", "vm: vm-1,", "vm: vm-1, state: out_of_service,",
     "service wording: changed\n"
     "  targets in service: 1 -> 0\n"
     "  effect: its calls are refused, since none of its targets is in service\n"
     "  services affected: wording\n"
     "  organisations affected: branch, head\n"
     "target wording-1: changed\n"
     "  state: in_service -> out_of_service\n"
     "  effect: it takes no new work\n"
     "  services affected: wording\n"
     "  organisations affected: branch, head\n"},
    {"owner set that is removed", "      - {from: \"2026-11-01T00:00:00Z\", targets: [orders-1]}\n", "",
     "service orders: changed\n"
     "  key owners: from 2026-11-01T00:00:00Z orders-1; from 2026-12-01T00:00:00Z orders-1, orders-2 -> from "
     "2026-12-01T00:00:00Z orders-1, orders-2\n"
     "  effect: a set of key owners is gone or altered, so a call that ran under it may run again; keep a set for 48 h "
     "after its successor's time\n"
     "  services affected: orders\n"
     "  organisations affected: head\n"},
    {"owner set that is appended", "    key_lifetime: 24 h\n",
     "      - {from: \"2027-01-01T12:30:05Z\", targets: [orders-2]}\n    key_lifetime: 24 h\n",
     "service orders: changed\n"
     "  key owners: from 2026-11-01T00:00:00Z orders-1; from 2026-12-01T00:00:00Z orders-1, orders-2 -> from "
     "2026-11-01T00:00:00Z orders-1; from 2026-12-01T00:00:00Z orders-1, orders-2; from 2027-01-01T12:30:05Z orders-2\n"
     "  services affected: orders\n"
     "  organisations affected: head\n"},
    {"rule with another meaning", "semantics: non_idempotent", "semantics: idempotent",
     "service orders: changed\n"
     "  call rules: GET /stock idempotent; POST / non_idempotent -> GET /stock idempotent; POST / idempotent\n"
     "  services affected: orders\n"
     "  organisations affected: head\n"},
    {"entry that moves", "failure_domain: north-a, vm: vm-4", "failure_domain: south-a, vm: vm-4",
     "entry entry-1: changed\n"
     "  failure domain: north-a -> south-a\n"},
    {"class with a shorter queue", "queue_deadline: 5 s", "queue_deadline: 2 s",
     "service class interactive: changed\n"
     "  longest wait in a queue: 5000 ms -> 2000 ms\n"
     "  organisations affected: branch, head\n"},
    {"limit of a head office that is removed", "{requests_per_second: 10, ", "{",
     "organisation head: changed\n"
     "  requests per second: 10 -> no limit\n"
     "  organisations affected: branch, head\n"},
    {"organisation that loses a service", "services: [wording, orders]", "services: [wording]",
     "organisation head: changed\n"
     "  services: orders, wording -> wording\n"
     "  effect: its calls of service orders are refused\n"
     "  organisations affected: branch, head\n"},
    {"organisation with another name", "name: branch", "name: shop",
     "organisation branch: removed\n"
     "  effect: its calls are refused\n"
     "  organisations affected: branch\n"
     "organisation shop: added\n"
     "  organisations affected: shop\n"},
    {"new bearer key", "2222222222222222222222222222222222222222222222222222222222222222",
     "3333333333333333333333333333333333333333333333333333333333333333",
     "organisation branch: changed\n"
     "  bearer key digest: 2222222222222222222222222222222222222222222222222222222222222222 -> "
     "3333333333333333333333333333333333333333333333333333333333333333\n"
     "  effect: calls with its earlier bearer key are refused\n"
     "  organisations affected: branch\n"},
};

/// Revisions of two catalogues whose items are the same or not, and what is said about them.
struct revision_pair {
    std::string_view name;
    std::string_view revision;
    bool other_items;
    std::string text;
};

std::string const not_above =
    "  effect: running processes pass over the new catalogue, since its revision is not above 7\n";

std::vector<revision_pair> const revisions{
    {"same catalogue", "revision: 7", false, ""},
    {"next revision", "revision: 8", false, "catalogue: changed\n  revision: 7 -> 8\n"},
    {"earlier revision", "revision: 6", false, "catalogue: changed\n  revision: 7 -> 6\n" + not_above},
    {"same revision of other items", "revision: 7", true, "catalogue: changed\n" + not_above},
};

} // namespace

class catalogue_difference_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(catalogue_difference_test);
    CPPUNIT_TEST(names_changes_and_who_is_affected);
    CPPUNIT_TEST(exchanges_additions_and_removals);
    CPPUNIT_TEST(warns_of_revisions_that_no_process_takes);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a change that is published unseen, or for which the wrong callers are warned.
    void names_changes_and_who_is_affected() {
        auto const before = read(std::string{valid_catalogue});
        for_each_row(edited, [&](edited_catalogue const& row) {
            auto const text = replaced(replaced(valid_catalogue, row.from, row.to), "revision: 7", "revision: 8");
            auto const found = catalogue::compare(*before, *read(text));
            CPPUNIT_ASSERT_EQUAL(row.text + "catalogue: changed\n  revision: 7 -> 8\n", list(found));
        });
    }

    /// Guards against items of only one of the catalogues that are left out.
    void exchanges_additions_and_removals() {
        auto const smaller = read(std::string{valid_catalogue});
        auto const larger = read(replaced(valid_catalogue, "entries:\n", new_target));
        auto const count = [](std::vector<catalogue::difference> const& found, change_kind kind) {
            return std::ranges::count(found, kind, &catalogue::difference::kind);
        };
        auto const grown = catalogue::compare(*smaller, *larger);
        auto const shrunk = catalogue::compare(*larger, *smaller);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, count(grown, change_kind::added));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, count(grown, change_kind::removed));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, count(shrunk, change_kind::added));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, count(shrunk, change_kind::removed));
        CPPUNIT_ASSERT_EQUAL(grown.size(), shrunk.size());
    }

    /// Guards against a publication that every process passes over since its revision was not raised.
    void warns_of_revisions_that_no_process_takes() {
        auto const before = read(std::string{valid_catalogue});
        for_each_row(revisions, [&](revision_pair const& row) {
            auto text = replaced(valid_catalogue, "revision: 7", row.revision);
            if (row.other_items)
                text = replaced(text, "vm: vm-4", "vm: vm-5");
            auto found = catalogue::compare(*before, *read(text));
            std::erase_if(found, [](catalogue::difference const& each) { return each.item != "catalogue"; });
            CPPUNIT_ASSERT_EQUAL(row.text, list(found));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_difference_test);

} // namespace cyclamenledge::tests
