#include "catalogue/catalogue_builder.h"
#include "catalogue/catalogue_reader.h"
#include "catalogue/document.h"
#include "support/malformed_document.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

std::string const deep = std::string(40, '[') + std::string(40, ']');
std::string const large = "# " + std::string(1024 * 1024, 'x') + "\nrules: 1";
std::string const many = [] {
    std::string items;
    for (int index = 0; index < 140000; ++index)
        items += "- a\n";
    return items;
}();
std::string const old_digest(64, '1');

std::vector<malformed_document> const malformed{
    {"no rule set version", "rules: 1\n", "", "rules", 1},
    {"other rule set version", "rules: 1", "rules: 2", "rules", 1},
    {"no revision", "revision: 7\n", "", "revision", 1},
    {"revision zero", "revision: 7", "revision: 0", "revision", 2},
    {"negative revision", "revision: 7", "revision: -7", "revision", 2},
    {"quoted number", "revision: 7", "revision: \"7\"", "revision", 2},
    {"number out of range", "revision: 7", "revision: 99999999999999999999", "revision", 2},
    {"fraction for a whole number", "revision: 7", "revision: 7.5", "revision", 2},
    {"unknown top-level key", "revision: 7", "revision: 7\nrevison: 8", "revison", 3},
    {"unknown nested key", "state: out_of_service", "status: out_of_service", "failure_domains[1].status", 5},
    {"duplicate key", "revision: 7", "revision: 7\nrevision: 8", "", 3},
    {"malformed YAML", "failure_domains:", "failure_domains: [", "", 4},
    {"tab indentation", "    owner: text-team", "\towner: text-team", "", 8},
    {"alias", "revision: 7", "revision: *seven", "", 2},
    {"anchor", "revision: 7", "revision: &seven 7", "", 2},
    {"tag", "revision: 7", "revision: !!int 7", "", 2},
    {"deep nesting", "revision: 7", "revision: " + deep, "", 2},
    {"too large", "rules: 1", large, "", 1},
    {"too dense for the parser's memory", "rules: 1", "rules: " + std::string(140000, '['), "", 1},
    {"too many values", "revision: 7", "revision:\n" + many, "", 131074},
    {"control character", "owner: text-team", std::string{"owner: text\x01team"}, "", 8},
    {"second document", "rules: 1", "rules: 1\n---\nrules: 1", "", 2},
    {"key that is a list", "rules: 1", "[a]: 1", "", 1},
    {"section that is not a list", "entries:\n  - {", "entries:\n    {", "entries", 27},
    {"section without a value", "{name: north-a, region: North}", "", "failure_domains[0]", 4},
    {"missing section", "organisations:", "organisation:", "organisations", 1},
    {"unknown state", "state: out_of_service", "state: off", "failure_domains[1].state", 5},
    {"duplicate failure domain", "name: south-a", "name: north-a", "failure_domains[1].name", 5},
    {"name with a space", "name: south-a", "name: south a", "failure_domains[1].name", 5},
    {"empty region", "region: South", "region: \"\"", "failure_domains[1].region", 5},
    {"service without targets", "service: wording,", "service: orders,", "services[0]", 7},
    {"missing owner", "    owner: text-team\n    kind", "    kind", "services[0].owner", 7},
    {"generation without a model", "model: lantern, ", "", "services[0].placement.model", 10},
    {"more warm targets than targets", "minimum_warm: 1", "minimum_warm: 2", "services[0].placement.minimum_warm", 10},
    {"duplicate adapter", "[fijian]", "[fijian, fijian]", "services[0].placement.adapters[1]", 10},
    {"no output tokens", "default_output_tokens: 300", "default_output_tokens: 0", "services[0].default_output_tokens",
     11},
    {"placement of a plain service", "kind: plain", "kind: plain\n    placement: {model: a, version: b}",
     "services[1].placement", 15},
    {"call rules of a generation service", "default_output_tokens: 300",
     "call_rules: [{method: GET, path_prefix: /, semantics: idempotent}]", "services[0].call_rules", 11},
    {"unknown method", "method: GET", "method: FETCH", "services[1].call_rules[0].method", 16},
    {"relative path", "path_prefix: /stock", "path_prefix: stock", "services[1].call_rules[0].path_prefix", 16},
    {"rule that never applies", "{method: GET, path_prefix: /stock", "{method: POST, path_prefix: /",
     "services[1].call_rules[1]", 17},
    {"no key owners",
     "    key_owners:\n      - {from: \"2026-11-01T00:00:00Z\", targets: [orders-1]}\n      - {from: "
     "\"2026-12-01T00:00:00Z\", targets: [orders-1, orders-2]}\n",
     "", "services[1].key_owners", 12},
    {"key owner of another service", "targets: [orders-1]}", "targets: [wording-1]}",
     "services[1].key_owners[0].targets[0]", 19},
    {"unknown key owner", "orders-1, orders-2]", "orders-1, orders-9]", "services[1].key_owners[1].targets[1]", 20},
    {"empty key owner set", "targets: [orders-1]}", "targets: []}", "services[1].key_owners[0].targets", 19},
    {"key owner twice", "orders-1, orders-2]", "orders-1, orders-1]", "services[1].key_owners[1].targets[1]", 20},
    {"key owner sets out of order", "2026-12-01", "2026-10-01", "services[1].key_owners[1].from", 20},
    {"day that does not exist", "2026-12-01", "2026-02-30", "services[1].key_owners[1].from", 20},
    {"duration without a unit", "key_lifetime: 24 h", "key_lifetime: 24", "services[1].key_lifetime", 21},
    {"lifetime of zero", "key_lifetime: 24 h", "key_lifetime: 0 s", "services[1].key_lifetime", 21},
    {"lifetime with a part of a second", "key_lifetime: 24 h", "key_lifetime: 1500 ms", "services[1].key_lifetime", 21},
    {"unknown service", "service: wording,", "service: words,", "services[0]", 7},
    {"unknown failure domain", "failure_domain: south-a", "failure_domain: east-a", "targets[2].failure_domain", 25},
    {"host name as address", "127.0.0.1:9002", "localhost:9002", "targets[1].agent_address", 24},
    {"address without port", "127.0.0.1:9002", "127.0.0.1", "targets[1].agent_address", 24},
    {"port zero", "127.0.0.1:9002", "127.0.0.1:0", "targets[1].agent_address", 24},
    {"port too large", "127.0.0.1:9002", "127.0.0.1:65536", "targets[1].agent_address", 24},
    {"duplicate agent address", "127.0.0.1:9002", "127.0.0.1:9001", "targets[1].agent_address", 24},
    {"entry with an agent's address", "127.0.0.1:9004", "127.0.0.1:9001", "entries[0].peer_address", 27},
    {"entry with a target's name", "name: entry-1", "name: wording-1", "entries[0].name", 27},
    {"engine without memory", ", memory_tokens: 50000", "", "targets[0].memory_tokens", 23},
    {"memory of a plain target", "9002\"", "9002\", memory_tokens: 5", "targets[1].memory_tokens", 24},
    {"nothing may run", "memory_tokens: 50000", "memory_tokens: 50000, maximum_running: 0",
     "targets[0].maximum_running", 23},
    {"floor above the maximum", "memory_tokens: 50000", "memory_tokens: 50000, maximum_running: 4, warmup_floor: 5",
     "targets[0].warmup_floor", 23},
    {"quantile of one", "admission_quantile: 0.8", "admission_quantile: 1", "service_classes[0].admission_quantile",
     33},
    {"quantile of zero", "admission_quantile: 0.8", "admission_quantile: 0.0", "service_classes[0].admission_quantile",
     33},
    {"quantile that is not a number", "admission_quantile: 0.8", "admission_quantile: .nan",
     "service_classes[0].admission_quantile", 33},
    {"token gap of zero", "token_gap_target: 49 ms", "token_gap_target: 0 ms", "service_classes[0].token_gap_target",
     32},
    {"unknown service class", "service_class: interactive", "service_class: batch", "organisations[0].service_class",
     38},
    {"secret in place of a digest", old_digest, "swordfish", "organisations[0].bearer_key_sha256", 39},
    {"duplicate bearer digest", std::string_view{"2222222222222222222222222222222222222222222222222222222222222222"},
     old_digest, "organisations[1].bearer_key_sha256", 46},
    {"negative limit", "{requests_per_second: 10", "{requests_per_second: -10",
     "organisations[0].limits.requests_per_second", 41},
    {"unknown head office", "head_office: head", "head_office: hq", "organisations[1].head_office", 44},
    {"branch of itself", "head_office: head", "head_office: branch", "organisations[1].head_office", 44},
    {"branch above its head office", "{requests_per_second: 5", "{requests_per_second: 11",
     "organisations[1].limits.requests_per_second", 48},
    {"unlimited branch of a limited head office", "concurrent_requests: 10, ", "",
     "organisations[1].limits.concurrent_requests", 48},
    {"stretch of a head office", "tokens_per_second: 1000}", "tokens_per_second: 1000}\n    stretch: 0.5",
     "organisations[0].stretch", 42},
    {"stretch out of range", "stretch: 0.5", "stretch: 10.5", "organisations[1].stretch", 49},
    {"no services", "services: [wording, orders]", "services: []", "organisations[0].services", 40},
    {"unknown service of an organisation", "services: [wording, orders]", "services: [wording, order]",
     "organisations[0].services[1]", 40},
};

} // namespace

class catalogue_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(catalogue_reader_test);
    CPPUNIT_TEST(reads_every_part);
    CPPUNIT_TEST(refuses_malformed_documents);
    CPPUNIT_TEST(reports_every_error);
    CPPUNIT_TEST(refuses_a_branch_of_a_branch);
    CPPUNIT_TEST(builder_applies_the_same_rules);
    CPPUNIT_TEST(is_deterministic);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a field that is read into the wrong member or lost.
    void reads_every_part() {
        auto const read = catalogue::check_catalogue(std::string{valid_catalogue}, "test.yaml");
        CPPUNIT_ASSERT_MESSAGE(read.errors.empty() ? "" : to_text(read.errors.front()), read.value.has_value());
        auto const& found = **read.value;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, found.revision());
        auto const& orders = *found.find_service("orders");
        CPPUNIT_ASSERT(orders.call_rules.at(0).semantics == catalogue::call_semantics::idempotent);
        CPPUNIT_ASSERT(orders.key_owners.at(1).from == std::chrono::sys_days{std::chrono::year{2026} / 12 / 1});
        CPPUNIT_ASSERT(orders.key_lifetime == std::chrono::hours{24});
        CPPUNIT_ASSERT_EQUAL(std::string{"lantern"}, found.find_service("wording")->placement.model);
        CPPUNIT_ASSERT(!found.in_service(*found.find_target("orders-2")));
        CPPUNIT_ASSERT(found.find_target("orders-2")->fencing == catalogue::fencing_support::checked);
        CPPUNIT_ASSERT_EQUAL(500.0, found.find_organisation("branch")->limits.tokens_per_second);
        CPPUNIT_ASSERT_EQUAL(0.5, found.find_organisation("branch")->stretch);
        CPPUNIT_ASSERT(found.find_service_class("interactive")->queue_deadline == std::chrono::seconds{5});
    }

    /// Guards against a malformed catalogue that is put in force, or an error that points to the wrong place.
    void refuses_malformed_documents() {
        check_malformed(malformed, valid_catalogue, [](std::string const& text, std::string const& source) {
            return catalogue::check_catalogue(text, source);
        });
    }

    /// Guards against a check that stops at the first error, so that operators need one run per error.
    void reports_every_error() {
        auto text = replaced(valid_catalogue, "revision: 7", "revision: x");
        text = replaced(text, "127.0.0.1:9002", "somewhere");
        text = replaced(text, "stretch: 0.5", "stretch: 11\n    unknown: 1");
        auto const errors = catalogue::check_catalogue(text, "test.yaml").errors;
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, errors.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string{"test.yaml:24:89: targets[1].agent_address: found 'somewhere'; allowed: IP:PORT "
                        "with a numeric IP and a port from 1 to 65535"},
            to_text(errors[1]));
    }

    /// Guards against chains of offices, for which the limits have no meaning.
    void refuses_a_branch_of_a_branch() {
        auto const digest = std::string(64, '3');
        auto const text = std::string{valid_catalogue} +
                          "  - {name: kiosk, owner: sales, head_office: branch, service_class: interactive, "
                          "bearer_key_sha256: \"" +
                          digest + "\", services: [wording]}\n";
        auto const errors = catalogue::check_catalogue(text, "test.yaml").errors;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, errors.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"organisations[2].head_office"}, errors[0].path);
    }

    /// Guards against processes that build a catalogue in code and accept what the reader refuses.
    void builder_applies_the_same_rules() {
        catalogue::target lone;
        lone.name = "lone";
        lone.vm = "vm";
        auto const built = catalogue::catalogue_builder{}.revision(1).add(lone).build();
        CPPUNIT_ASSERT(built.has_error());
        CPPUNIT_ASSERT(built.error().kind == base::error_kind::invalid_configuration);
        CPPUNIT_ASSERT(built.error().message.starts_with("targets[0]."));
    }

    /// Guards against a result that depends on hash order or on earlier reads.
    void is_deterministic() {
        auto const text = replaced(valid_catalogue, "north-a", "elsewhere");
        auto const first = catalogue::check_catalogue(text, "test.yaml").errors;
        auto const second = catalogue::check_catalogue(text, "test.yaml").errors;
        CPPUNIT_ASSERT(first.size() > 2 && first.size() == second.size());
        for (std::size_t index = 0; index < first.size(); ++index)
            CPPUNIT_ASSERT_EQUAL(to_text(first[index]), to_text(second[index]));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_reader_test);

} // namespace cyclamenledge::tests
