#include "catalogue/catalogue_reader.h"
#include "support/table_test.h"
#include "yaml_reader/file.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>

namespace cyclamenledge::tests {

namespace {

struct example {
    std::string name;
    std::ptrdiff_t model_targets;
    std::string plain_service;
};

std::array<example, 2> const examples{{{"vatuloa", 12, "orders"}, {"fjordvinge", 11, "bookings"}}};

} // namespace

class examples_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(examples_test);
    CPPUNIT_TEST(examples_are_accepted);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against examples that a stricter rule has made invalid, or that left the sizes of the two users.
    void examples_are_accepted() {
        for_each_row(examples, [](example const& row) {
            auto const file = std::string{CYCLAMENLEDGE_EXAMPLES} + "/" + row.name + "/catalogue.yaml";
            auto const text = yaml_reader::read_file(file);
            CPPUNIT_ASSERT(text.has_value());
            auto const read = catalogue::read_catalogue(text.value(), file);
            CPPUNIT_ASSERT_MESSAGE(read.has_error() ? read.error().message : "", read.has_value());
            auto const& found = *read.value();
            CPPUNIT_ASSERT_EQUAL(row.model_targets,
                                 std::ranges::count_if(found.targets(), [&](catalogue::target const& item) {
                                     return item.service != row.plain_service;
                                 }));
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(row.model_targets) + 3, found.targets().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found.failure_domains().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found.entries().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, found.organisations().size());
            // Every call that changes something must be non-idempotent.
            for (auto const& rule : found.find_service(row.plain_service)->call_rules)
                CPPUNIT_ASSERT_EQUAL(rule.method == "GET", rule.semantics == catalogue::call_semantics::idempotent);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(examples_test);

} // namespace cyclamenledge::tests
