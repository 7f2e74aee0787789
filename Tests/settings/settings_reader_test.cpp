#include "settings/settings_reader.h"
#include "support/malformed_document.h"
#include "support/mutated_document.h"
#include "support/property.h"
#include "support/table_test.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

constexpr std::string_view valid_settings = R"(role: entry
name: entry-1
failure_domain: north-a
vm: vm-1
threads: 2
caller_address: "127.0.0.1:8080"
peer_address: "127.0.0.1:8081"
operator_address: "127.0.0.1:8082"
configuration_address: "127.0.0.1:8083"
vm_list_address: "127.0.0.1:8084"
peers: ["127.0.0.1:8085"]
shared_keys: [first-shared-key-1, second-shared-key]
limits: {header_bytes: 8192, body_bytes: 65536, header_timeout: 10 s, connections: 100}
drain_accept: 1500 ms
drain_limit: 1 h
log_level: debug
)";

std::vector<malformed_document> const malformed{
    {"unknown role", "role: entry", "role: router", "role", 1},
    {"missing name", "name: entry-1\n", "", "name", 1},
    {"empty name", "name: entry-1", "name: \"\"", "name", 2},
    {"name that is a list", "name: entry-1", "name: [entry-1]", "name", 2},
    {"missing value", "vm: vm-1", "vm:", "vm", 4},
    {"unknown key", "threads: 2", "thread: 2", "thread", 5},
    {"no threads", "threads: 2", "threads: 0", "threads", 5},
    {"entry without a caller address", "caller_address: \"127.0.0.1:8080\"\n", "", "caller_address", 1},
    {"host name", "127.0.0.1:8080", "localhost:8080", "caller_address", 6},
    {"two listeners on one address", "127.0.0.1:8081", "127.0.0.1:8080", "peer_address", 7},
    {"target of an entry", "threads: 2", "target_address: \"127.0.0.1:9\"", "target_address", 5},
    {"callers of an agent", "role: entry", "role: agent", "target_address", 1},
    {"no source of the catalogue",
     "configuration_address: \"127.0.0.1:8083\"\nvm_list_address: \"127.0.0.1:8084\"\npeers: [\"127.0.0.1:8085\"]\n",
     "", "", 1},
    {"two sources of the catalogue", "threads: 2", "catalogue_file: a.yaml", "catalogue_file", 5},
    {"bad configuration address", "127.0.0.1:8083", "127.0.0.1:x", "configuration_address", 9},
    {"bad VM list address", "127.0.0.1:8084", "127.0.0.256:1", "vm_list_address", 10},
    {"bad peer", "127.0.0.1:8085", "peer", "peers[0]", 11},
    {"duplicate peer", "[\"127.0.0.1:8085\"]", "[\"127.0.0.1:8085\", \"127.0.0.1:8085\"]", "peers[1]", 11},
    {"no shared key", "[first-shared-key-1, second-shared-key]", "[]", "shared_keys", 12},
    {"short shared key", "second-shared-key", "second", "shared_keys[1]", 12},
    {"duplicate shared key", "second-shared-key", "first-shared-key-1", "shared_keys[1]", 12},
    {"three shared keys", "second-shared-key", "second-shared-key, third-shared-key-3", "shared_keys", 12},
    {"body larger than a frame", "body_bytes: 65536", "body_bytes: 1048577", "limits.body_bytes", 13},
    {"no header bytes", "header_bytes: 8192", "header_bytes: 0", "limits.header_bytes", 13},
    {"unknown limit", "connections: 100", "connection: 100", "limits.connection", 13},
    {"timeout without a unit", "header_timeout: 10 s", "header_timeout: 10", "limits.header_timeout", 13},
    {"negative duration", "1500 ms", "-1500 ms", "drain_accept", 14},
    {"duration that overflows", "1500 ms", "18446744073709551615 h", "drain_accept", 14},
    {"drain limit of zero", "drain_limit: 1 h", "drain_limit: 0 s", "drain_limit", 15},
    {"unknown log level", "log_level: debug", "log_level: loud", "log_level", 16},
};

} // namespace

class settings_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_reader_test);
    CPPUNIT_TEST(reads_every_part);
    CPPUNIT_TEST(refuses_malformed_documents);
    CPPUNIT_TEST(keeps_shared_keys_out_of_messages);
    CPPUNIT_TEST(reports_a_missing_file);
    CPPUNIT_TEST(entries_start_with_fractional_bounds);
    CPPUNIT_TEST(examples_are_accepted);
    CPPUNIT_TEST(mutations_give_settings_or_a_place);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a field that is read into the wrong member or lost.
    void reads_every_part() {
        auto const read = settings::read_settings(std::string{valid_settings}, "test.yaml");
        CPPUNIT_ASSERT_MESSAGE(read.has_error() ? read.error().message : "", read.has_value());
        auto const& found = read.value();
        CPPUNIT_ASSERT(found.role == settings::process_role::entry);
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:8082"}, found.operator_address);
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:8084"}, found.vm_list_address.value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.shared_keys.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{65536}, found.limits.body_bytes);
        CPPUNIT_ASSERT(found.limits.header_timeout == std::chrono::seconds{10});
        CPPUNIT_ASSERT(found.drain_accept == std::chrono::milliseconds{1500});
        CPPUNIT_ASSERT(found.drain_limit == std::chrono::hours{1});
        CPPUNIT_ASSERT(!found.catalogue_file);
    }

    /// Guards against a daemon that starts with malformed settings, or an error that points to the wrong place.
    void refuses_malformed_documents() {
        check_malformed(malformed, valid_settings, [](std::string const& text, std::string const& source) {
            return settings::check_settings(text, source);
        });
    }

    /// Guards against secrets in logs.
    void keeps_shared_keys_out_of_messages() {
        auto const read = settings::read_settings(replaced(valid_settings, "second-shared-key", "secret"), "test.yaml");
        CPPUNIT_ASSERT(read.has_error());
        CPPUNIT_ASSERT(read.error().message.find("secret") == std::string::npos);
    }

    /// Guards against an exception or an empty document in place of an input error.
    void reports_a_missing_file() {
        auto const read = settings::read_settings_file("/nowhere/settings.yaml");
        CPPUNIT_ASSERT(read.has_error() && read.error().kind == base::error_kind::io_failed);
        CPPUNIT_ASSERT(settings::read_settings_file("/").has_error());
    }

    /// Guards against a system of which no process starts, because a deployment gives a bound with a fraction.
    void entries_start_with_fractional_bounds() {
        struct row {
            char const* name;
            char const* reserve;
            char const* window;
            char const* drain_limit;
            double expected_reserve;
            base::milliseconds expected_window;
            base::milliseconds expected_drain_limit;
        };
        using base::milliseconds;
        std::vector<row> const table{
            {"whole numbers", "54", "10 s", "8 s", 54, milliseconds{10'000}, milliseconds{8000}},
            {"fractions", "36.1764705882353", "7.5 s", "8.2504 s", 36.1764705882353, milliseconds{7500},
             milliseconds{8250}},
        };
        for_each_row(table, [](row const& tested) {
            auto text = replaced(valid_settings, "role: entry", "role: forwarding_entry");
            text = replaced(text, "threads: 2\n", "");
            text =
                replaced(text, "configuration_address: \"127.0.0.1:8083\"\nvm_list_address: \"127.0.0.1:8084\"\n", "");
            text = replaced(text, "drain_limit: 1 h", std::string{"drain_limit: "} + tested.drain_limit);
            text +=
                std::string{"forwarding:\n  store_address: \"127.0.0.1:8086\"\n  agent_port: 7200\n  retry_reserve: "} +
                tested.reserve + "\n  retry_window: " + tested.window + "\n";
            auto const read = settings::read_settings(text, "test.yaml");
            CPPUNIT_ASSERT_MESSAGE(read.has_error() ? read.error().message : "", read.has_value());
            auto const forwarding = read.value().forwarding;
            CPPUNIT_ASSERT_DOUBLES_EQUAL(tested.expected_reserve, forwarding.retry_reserve, 1e-9);
            CPPUNIT_ASSERT(tested.expected_window == forwarding.retry_window);
            CPPUNIT_ASSERT(tested.expected_drain_limit == read.value().drain_limit);
        });
    }

    /// Guards against examples that a stricter rule has made invalid.
    void examples_are_accepted() {
        for (std::string const file : {"vatuloa/entry", "vatuloa/agent", "fjordvinge/entry", "fjordvinge/agent"}) {
            auto const read = settings::read_settings_file(CYCLAMENLEDGE_EXAMPLES "/" + file + ".yaml");
            CPPUNIT_ASSERT_MESSAGE(read.has_error() ? read.error().message : "", read.has_value());
        }
    }

    /// Guards against settings that make the daemon crash, hang or throw at start.
    void mutations_give_settings_or_a_place() {
        check_property("mutated settings are read or refused with a place", [] {
            auto const text = *mutated(valid_settings);
            auto const read = settings::check_settings(text, "test.yaml");
            auto const lines = static_cast<std::uint32_t>(std::ranges::count(text, '\n')) + 1;
            RC_ASSERT(read.value.has_value() == read.errors.empty());
            RC_ASSERT(std::ranges::all_of(read.errors, [&](yaml_reader::diagnostic const& item) {
                return item.at.line >= 1 && item.at.line <= lines && item.at.column >= 1;
            }));
            RC_CLASSIFY(read.value.has_value(), "accepted");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_reader_test);

} // namespace cyclamenledge::tests
