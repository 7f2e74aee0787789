#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests::process {

/// Guards against requests whose lines in the log cannot be read, because a caller has chosen the bytes of an id.
class odd_requests_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(odd_requests_test);
    CPPUNIT_TEST(requests_with_odd_ids_are_found_in_the_log);
    CPPUNIT_TEST_SUITE_END();

public:
    void requests_with_odd_ids_are_found_in_the_log() {
        struct row {
            char const* name;
            std::string id;
        };
        std::vector<row> const table{
            {"usual", "call-1"},
            {"quotes and backslashes", R"(call-"\2)"},
            {"letters beyond ASCII", "call-\xc3\xa4"},
            {"bytes that are not UTF-8", "call-\xe4\xff"},
            {"half a letter", "call-\xc3"},
        };
        platform_world world{{.entries = 1, .engines = 1, .services = 1}};
        for_each_row(table, [&](row const& tested) {
            CPPUNIT_ASSERT_EQUAL(200U, world.call({tested.id, "/order/1"}).status);
            auto const trace = world.trace(tested.id);
            CPPUNIT_ASSERT_MESSAGE(trace, trace.find("request_finished") != std::string::npos);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_requests_test);

} // namespace cyclamenledge::tests::process
