#include "log/logger.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

/// Guards against text from outside that ends a line of the log, so that its writer adds lines.
class text_line_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(text_line_test);
    CPPUNIT_TEST(values_from_outside_stay_in_their_line);
    CPPUNIT_TEST_SUITE_END();

public:
    void values_from_outside_stay_in_their_line() {
        using namespace std::string_literals;
        struct row {
            char const* name;
            std::string value;
            std::string expected;
        };
        std::vector<row> const table{
            {"plain", "i-1", "target=i-1"},
            {"blank", "i 1", R"(target="i 1")"},
            {"line end", "i\r\nE101 process_started", R"(target="i\r\nE101 process_started")"},
            {"escape", "i\x1b[2J", R"(target="i\u001b[2J")"},
            {"NUL", "i\0"s, R"(target="i\u0000")"},
            {"vertical tab", "i\v", R"(target="i\u000b")"},
        };
        for_each_row(table, [](row const& tested) {
            std::ostringstream written;
            auto* const usual = std::cerr.rdbuf(written.rdbuf());
            auto const started = log::start_logging("info", "test");
            log::write(log::event_kind::target_seen, {{"target", tested.value}});
            std::cerr.rdbuf(usual);
            CPPUNIT_ASSERT(started.has_value());
            auto const line = written.str();
            CPPUNIT_ASSERT_MESSAGE(line, line.find(tested.expected + "\n") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::ranges::count(line, '\n'));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(text_line_test);

} // namespace cyclamenledge::tests
