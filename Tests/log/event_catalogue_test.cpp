#include "log/event_kind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <regex>
#include <set>
#include <string>

namespace cyclamenledge::tests {

class event_catalogue_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_catalogue_test);
    CPPUNIT_TEST(documentation_lists_every_event);
    CPPUNIT_TEST(table_is_in_the_order_of_the_enumeration);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an event that is missing from docs/events.md, or described there under another number or level.
    void documentation_lists_every_event() {
        static char const* const level_names[] = {"debug", "info", "warning", "error"};
        std::set<std::string> expected;
        for (auto const& event : log::all_events()) {
            expected.insert(std::to_string(event.number) + " " + level_names[static_cast<int>(event.level)] + " " +
                            std::string(event.name));
        }
        std::set<std::string> documented;
        std::ifstream page{std::string(SOURCE_FOLDER) + "/docs/events.md"};
        std::regex const row{R"(^\| (\d+) \| (\w+) \| (\w+) \| .+ \| .+ \|$)"};
        for (std::string line; std::getline(page, line);) {
            std::smatch match;
            if (std::regex_match(line, match, row))
                documented.insert(match[1].str() + " " + match[2].str() + " " + match[3].str());
        }
        CPPUNIT_ASSERT(expected == documented);
    }

    // Guards against a look-up that returns the definition of another event.
    void table_is_in_the_order_of_the_enumeration() {
        for (std::size_t index = 0; index < log::event_kind_count; ++index) {
            auto const kind = static_cast<log::event_kind>(index);
            CPPUNIT_ASSERT(log::definition_of(kind).kind == kind);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_catalogue_test);

} // namespace cyclamenledge::tests
