#include "base/json_text.h"
#include "support/table_test.h"

#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

/// Guards against text from outside that breaks the JSON text into which it is put.
class json_text_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(json_text_test);
    CPPUNIT_TEST(bytes_from_outside_leave_the_text_valid);
    CPPUNIT_TEST_SUITE_END();

public:
    void bytes_from_outside_leave_the_text_valid() {
        using namespace std::string_literals;
        struct row {
            char const* name;
            std::string bytes;
            std::string read;
        };
        std::vector<row> const table{
            {"plain", "i-1", "i-1"},
            {"quotes and line ends", "a\"b\\\r\n", "a\"b\\\r\n"},
            {"NUL and escape", "a\0\x1b"s, "a\0\x1b"s},
            {"letters beyond ASCII", "\xc3\xa4", "\xc3\xa4"},
            {"not UTF-8", "a\xe4", "a\xc3\xa4"},
            {"half a letter", "\xc3", "\xc3\x83"},
            {"half a surrogate pair", "\xed\xa0\x80", "\xc3\xad\xc2\xa0\xc2\x80"},
        };
        for_each_row(table, [](row const& tested) {
            boost::system::error_code code;
            auto const text = R"({"a":")" + base::escape_json(base::text_of_bytes(tested.bytes)) + "\"}";
            auto const parsed = boost::json::parse(text, code);
            CPPUNIT_ASSERT_MESSAGE(code.message(), !code);
            CPPUNIT_ASSERT_EQUAL(tested.read, std::string{parsed.at("a").as_string()});
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(json_text_test);

} // namespace cyclamenledge::tests
