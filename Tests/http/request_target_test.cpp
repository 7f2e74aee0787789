#include "http/request_target.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

/// Guards against values of parameters that change the meaning of a request's target.
class request_target_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_target_test);
    CPPUNIT_TEST(values_are_encoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void values_are_encoded() {
        struct row {
            char const* name;
            std::string value;
            std::string expected;
        };
        using namespace std::string_literals;
        std::vector<row> const table{
            {"unreserved characters", "AZaz09-._~", "AZaz09-._~"},
            {"usual key", "servers/i-7f3a91c2", "servers/i-7f3a91c2"},
            {"delimiters", "a&b=c+d;e", "a%26b%3Dc%2Bd%3Be"},
            {"end of a query", "a#b?c", "a%23b%3Fc"},
            {"percent signs", "%41%", "%2541%25"},
            {"blank and line end", "a b\r\nc", "a%20b%0D%0Ac"},
            {"NUL and delete", "a\0\x7f"s, "a%00%7F"},
            {"bytes beyond ASCII", "\xc3\xa4\xff", "%C3%A4%FF"},
            {"empty", "", ""},
        };
        for_each_row(table, [](row const& tested) {
            http::request_target target{"/list"};
            target.add("after", tested.value).add("count", std::uint64_t{7});
            CPPUNIT_ASSERT_EQUAL("/list?after=" + tested.expected + "&count=7", target.text());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_target_test);

} // namespace cyclamenledge::tests
