#include "base/error.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace cyclamenledge::tests {

class error_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(error_test);
    CPPUNIT_TEST(every_kind_parses_back);
    CPPUNIT_TEST(body_escapes_the_message);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a row that is missing from or misplaced in the answer table.
    void every_kind_parses_back() {
        for (std::size_t index = 0; index < base::error_kind_count; ++index) {
            auto const kind = static_cast<base::error_kind>(index);
            CPPUNIT_ASSERT(base::parse_error_kind(base::name_of(kind)) == kind);
            CPPUNIT_ASSERT(base::answer_for(kind).http_status >= 400);
        }
    }

    // Guards against caller input that breaks out of the JSON error body.
    void body_escapes_the_message() {
        base::error const failure{base::error_kind::overloaded, "a \"quoted\"\nline", std::chrono::milliseconds{40}};
        CPPUNIT_ASSERT_EQUAL(std::string("{\"error\":{\"kind\":\"overloaded\",\"message\":\"a \\\"quoted\\\"\\nline\","
                                         "\"run\":\"not_run\",\"advice\":\"retry_later\",\"retry_after_ms\":40}}"),
                             base::error_body(failure));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_test);

} // namespace cyclamenledge::tests
