#include "catalogue/catalogue_reader.h"
#include "catalogue/catalogue_review.h"
#include "catalogue/document.h"
#include "support/malformed_document.h"
#include "yaml_reader/document.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using yaml_reader::finding_kind;

/// Replaces the first occurrence of a text.
struct edit {
    std::string_view from;
    std::string_view to;
};

/// The small valid catalogue with its domains in service, so that it has no findings, after some edits.
std::string edited(std::vector<edit> const& edits) {
    auto text = replaced(valid_catalogue, "South, state: out_of_service", "South");
    for (auto const& each : edits)
        text = replaced(text, each.from, each.to);
    return text;
}

std::vector<yaml_reader::finding> review_text(std::string const& text) {
    auto const read = catalogue::check_catalogue(text, "test.yaml");
    CPPUNIT_ASSERT_MESSAGE(read.errors.empty() ? "" : to_text(read.errors.front()), read.value.has_value());
    auto findings = catalogue::review(**read.value);
    yaml_reader::diagnostics errors{"test.yaml"};
    yaml_reader::locate(findings, *yaml_reader::parse_document(text, errors));
    return findings;
}

std::string list(std::vector<yaml_reader::finding> const& findings) {
    std::string text;
    for (auto const& each : findings)
        text += to_text(each, "test.yaml") + "\n";
    return text;
}

constexpr std::string_view head_limits =
    "    limits: {requests_per_second: 10, concurrent_requests: 20, tokens_per_second: 1000}\n";
constexpr std::string_view branch_limits =
    "    limits: {requests_per_second: 5, concurrent_requests: 10, tokens_per_second: 500}\n";

/// Edits of a catalogue without findings, and the first finding of all that they must give.
struct doubtful_catalogue {
    std::string_view name;
    std::vector<edit> edits;
    finding_kind kind;
    std::string path;
    std::uint32_t line;
    std::size_t count{1};
};

std::vector<doubtful_catalogue> const doubtful{
    {"failure domain without targets or entries",
     {{"services:\n", "  - {name: east-a, region: East}\nservices:\n"}},
     finding_kind::unused,
     "failure_domains[2]",
     6},
    {"service that nobody may call", {{"[wording, orders]", "[wording]"}}, finding_kind::unused, "services[1]", 12},
    {"service with its target out of service",
     {{"vm: vm-1", "vm: vm-1, state: out_of_service"}},
     finding_kind::never_serves,
     "services[0]",
     7},
    {"service with its failure domain out of service",
     {{"services:\n", "  - {name: closed, region: North, state: out_of_service}\nservices:\n"},
      {"failure_domain: north-a, vm: vm-1", "failure_domain: closed, vm: vm-1"}},
     finding_kind::never_serves,
     "services[0]",
     8},
    {"minimum of warm targets of 0",
     {{"minimum_warm: 1", "minimum_warm: 0"}},
     finding_kind::no_effect,
     "services[0].placement.minimum_warm",
     10},
    {"more warm targets than targets in service",
     {{"minimum_warm: 1", "minimum_warm: 2"},
      {"entries:\n", "  - {name: wording-2, service: wording, failure_domain: north-a, vm: vm-9, agent_address: "
                     "\"127.0.0.1:9009\", memory_tokens: 50000, state: out_of_service}\nentries:\n"}},
     finding_kind::contradiction,
     "services[0].placement.minimum_warm",
     10},
    {"plain service with neither rules nor owners",
     {{"targets:\n  - {name", "  - {name: bare, owner: shop-team, kind: plain}\ntargets:\n  - {name"},
      {"[wording, orders]", "[wording, orders, bare]"},
      {"entries:\n", "  - {name: bare-1, service: bare, failure_domain: north-a, vm: vm-9, agent_address: "
                     "\"127.0.0.1:9009\"}\nentries:\n"}},
     finding_kind::never_serves,
     "services[2]",
     22},
    {"key owner out of service",
     {{"vm: vm-3", "vm: vm-3, state: out_of_service"}},
     finding_kind::never_serves,
     "services[1].key_owners[1].targets[1]",
     20},
    {"engine too small for one output",
     {{"memory_tokens: 50000", "memory_tokens: 299"}},
     finding_kind::contradiction,
     "targets[0].memory_tokens",
     23},
    {"class without organisations",
     {{"service_classes:\n", "service_classes:\n  - {name: idle, owner: text-team, goal: completion}\n"}},
     finding_kind::unused,
     "service_classes[0]",
     29},
    {"queue that holds no request",
     {{"queue_deadline: 5 s", "queue_limit: 0"}},
     finding_kind::no_effect,
     "service_classes[0].queue_limit",
     34},
    {"deadline before the first token is due",
     {{"queue_deadline: 5 s", "queue_deadline: 389 ms"}},
     finding_kind::contradiction,
     "service_classes[0].queue_deadline",
     34},
    // Both organisations call wording, which has no target in South.
    {"region without a target of a class that never crosses",
     {{"queue_deadline: 5 s", "crossing: never"},
      {"entries:\n", "entries:\n  - {name: entry-2, failure_domain: south-a, vm: vm-9, peer_address: "
                     "\"127.0.0.1:9009\"}\n"}},
     finding_kind::never_serves,
     "organisations[0].services[0]",
     41,
     2},
    {"branches above their head office together",
     {{"  - name: branch\n",
       "  - {name: kiosk, owner: sales, head_office: head, service_class: interactive, bearer_key_sha256: "
       "\"3333333333333333333333333333333333333333333333333333333333333333\", services: [wording], limits: "
       "{requests_per_second: 5.1, concurrent_requests: 10, tokens_per_second: 500}}\n  - name: branch\n"}},
     finding_kind::contradiction,
     "organisations[0].limits.requests_per_second",
     41},
    {"stretch beyond the head office",
     {{"stretch: 0.5", "stretch: 1.1"}},
     finding_kind::contradiction,
     "organisations[1].stretch",
     49},
    {"stretch of limits as large as the head office's",
     {{branch_limits, head_limits}},
     finding_kind::no_effect,
     "organisations[1].stretch",
     49},
    {"stretch without limits",
     {{head_limits, ""}, {branch_limits, ""}},
     finding_kind::no_effect,
     "organisations[1].stretch",
     47},
};

/// Edits at the bound of a rule, which must give no finding.
struct sound_catalogue {
    std::string_view name;
    std::vector<edit> edits;
};

std::vector<sound_catalogue> const sound{
    {"the catalogue itself", {}},
    {"domain with an entry only",
     {{"failure_domain: south-a", "failure_domain: north-a"}, {"north-a, vm: vm-4", "south-a, vm: vm-4"}}},
    {"engine with room for one output", {{"memory_tokens: 50000", "memory_tokens: 300"}}},
    {"deadline when the first token is due", {{"queue_deadline: 5 s", "queue_deadline: 390 ms"}}},
    {"targets wherever a class that never crosses has entries", {{"queue_deadline: 5 s", "crossing: never"}}},
    {"entry in a domain that is out of service",
     {{"queue_deadline: 5 s", "crossing: never"},
      {"services:\n", "  - {name: east-a, region: East, state: out_of_service}\nservices:\n"},
      {"entries:\n", "entries:\n  - {name: entry-2, failure_domain: east-a, vm: vm-9, peer_address: "
                     "\"127.0.0.1:9009\"}\n"}}},
    {"branches at the limits of their head office together",
     {{"  - name: branch\n",
       "  - {name: kiosk, owner: sales, head_office: head, service_class: interactive, bearer_key_sha256: "
       "\"3333333333333333333333333333333333333333333333333333333333333333\", services: [wording], limits: "
       "{requests_per_second: 5, concurrent_requests: 10, tokens_per_second: 500}}\n  - name: branch\n"}}},
    {"stretch to the head office's limit", {{"stretch: 0.5", "stretch: 1"}}},
    {"stretch of a branch whose head office has no limits", {{head_limits, ""}, {"stretch: 0.5", "stretch: 10"}}},
    {"earlier owner set with a target out of service",
     {{"{from: \"2026-11-01T00:00:00Z\", targets: [orders-1]}",
       "{from: \"2026-11-01T00:00:00Z\", targets: [orders-2]}"},
      {"targets: [orders-1, orders-2]", "targets: [orders-1]"},
      {"vm: vm-3", "vm: vm-3, state: out_of_service"}}},
};

} // namespace

class catalogue_review_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(catalogue_review_test);
    CPPUNIT_TEST(finds_doubtful_items);
    CPPUNIT_TEST(accepts_sound_items);
    CPPUNIT_TEST(bounds_the_findings);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an item that never serves, or limits that contradict each other, published without a warning,
    /// and against a warning that points to the wrong place.
    void finds_doubtful_items() {
        for_each_row(doubtful, [](doubtful_catalogue const& row) {
            auto const found = review_text(edited(row.edits));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(list(found), row.count, found.size());
            auto const& first = found.front();
            CPPUNIT_ASSERT_EQUAL(row.path, first.path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(list(found), row.line, first.at.line);
            CPPUNIT_ASSERT(first.kind == row.kind && !first.found.empty() && !first.advice.empty());
        });
    }

    /// Guards against warnings about sound catalogues, which would teach operators to pass over all of them.
    void accepts_sound_items() {
        for_each_row(sound, [](sound_catalogue const& row) {
            auto const found = review_text(edited(row.edits));
            CPPUNIT_ASSERT_MESSAGE(list(found), found.empty());
        });
    }

    /// Guards against a review whose memory and output grow with a catalogue that is wrong everywhere.
    void bounds_the_findings() {
        std::string domains;
        for (std::size_t index = 0; index <= yaml_reader::maximum_findings; ++index)
            domains += "  - {name: d-" + std::to_string(index) + ", region: East}\n";
        domains += "services:\n";
        auto const found = review_text(edited({{"services:\n", domains}}));
        CPPUNIT_ASSERT_EQUAL(yaml_reader::maximum_findings, found.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_review_test);

} // namespace cyclamenledge::tests
