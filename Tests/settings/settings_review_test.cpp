#include "settings/settings_reader.h"
#include "settings/settings_review.h"
#include "support/malformed_document.h"
#include "yaml_reader/document.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using yaml_reader::finding_kind;

/// Settings without findings.
constexpr std::string_view sound_settings = R"(role: forwarding_entry
name: entry-1
failure_domain: north-a
vm: vm-1
caller_address: "127.0.0.1:8080"
peer_address: "127.0.0.1:8081"
operator_address: "127.0.0.1:8082"
shared_keys: [first-shared-key-1]
drain_accept: 1500 ms
drain_limit: 2 s
drain_margin: 499 ms
forwarding:
  store_address: "127.0.0.1:8083"
  agent_port: 9000
  regions: [north-a=North, south-a=South]
  retry_share: 0.1
)";

struct reviewed_settings {
    std::string_view name;
    std::string_view from;
    std::string_view to;
    /// The path of the finding; empty for none.
    std::string path;
    finding_kind kind{};
    std::uint32_t line{0};
};

std::vector<reviewed_settings> const rows{
    {"the settings themselves", "threads", "threads", ""},
    {"requests accepted until the end", "drain_margin: 499 ms", "drain_margin: 500 ms", "drain_accept",
     finding_kind::contradiction, 9},
    {"no time in which requests are accepted", "drain_accept: 1500 ms", "drain_accept: 0 s", ""},
    {"no limit of the drain", "drain_limit: 2 s\ndrain_margin: 499 ms\n", "", ""},
    {"two regions of one domain", "south-a=South", "north-a=South", "forwarding.regions[1]",
     finding_kind::contradiction, 15},
    {"one region twice", "south-a=South", "north-a=North", ""},
    {"neither share nor reserve of retries", "retry_share: 0.1", "retry_share: 0\n  retry_reserve: 0",
     "forwarding.retry_share", finding_kind::no_effect, 16},
    {"reserve of retries only", "retry_share: 0.1", "retry_share: 0\n  retry_reserve: 1", ""},
};

struct role_row {
    std::string_view name;
    std::string_view setting;
};

std::vector<role_row> const entry_only{
    {"readiness_address", "\"127.0.0.1:8083\""},
    {"store_address", "\"127.0.0.1:8083\""},
    {"agent_port", "9000"},
    {"regions", "[north-a=North]"},
    {"retry_share", "0.2"},
    {"retry_reserve", "5"},
    {"retry_window", "5 s"},
    {"deferrable_objective", "2 s"},
    {"target_pace", "follow"},
};

std::vector<yaml_reader::finding> review_text(std::string const& text) {
    auto const read = settings::check_settings(text, "test.yaml");
    CPPUNIT_ASSERT_MESSAGE(read.errors.empty() ? "" : to_text(read.errors.front()), read.value.has_value());
    auto found = settings::review(*read.value);
    yaml_reader::diagnostics errors{"test.yaml"};
    locate(found, *yaml_reader::parse_document(text, errors));
    return found;
}

} // namespace

class settings_review_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_review_test);
    CPPUNIT_TEST(finds_settings_that_contradict);
    CPPUNIT_TEST(finds_settings_that_the_role_does_not_read);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against settings that cut callers or disable retries without a warning, and against warnings about sound
    /// ones.
    void finds_settings_that_contradict() {
        for_each_row(rows, [](reviewed_settings const& row) {
            auto const text =
                row.from == row.to ? std::string{sound_settings} : replaced(sound_settings, row.from, row.to);
            auto const found = review_text(text);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(found.empty() ? "" : to_text(found.front(), "test.yaml"),
                                         std::size_t{row.path.empty() ? 0U : 1U}, found.size());
            if (found.empty())
                return;
            CPPUNIT_ASSERT_EQUAL(row.path, found.front().path);
            CPPUNIT_ASSERT_EQUAL(row.line, found.front().at.line);
            CPPUNIT_ASSERT(row.kind == found.front().kind);
        });
    }

    /// Guards against a setting of an agent that its author takes to be in force.
    void finds_settings_that_the_role_does_not_read() {
        auto const start = sound_settings.find("forwarding:\n");
        auto const agent = replaced(replaced(sound_settings.substr(0, start), "forwarding_entry", "forwarding_agent"),
                                    "caller_address", "target_address");
        CPPUNIT_ASSERT(review_text(agent).empty());
        for_each_row(entry_only, [&](role_row const& row) {
            auto const found =
                review_text(agent + "forwarding:\n  " + std::string{row.name} + ": " + std::string{row.setting} + "\n");
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
            CPPUNIT_ASSERT_EQUAL("forwarding." + std::string{row.name}, found.front().path);
            CPPUNIT_ASSERT(found.front().kind == finding_kind::no_effect && found.front().at.line == 13);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_review_test);

} // namespace cyclamenledge::tests
