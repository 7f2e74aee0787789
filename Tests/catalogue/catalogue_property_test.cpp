#include "catalogue/catalogue_reader.h"
#include "catalogue/document.h"
#include "support/mutated_document.h"
#include "support/property.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>

namespace cyclamenledge::tests {

class catalogue_property_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(catalogue_property_test);
    CPPUNIT_TEST(mutations_give_a_catalogue_or_a_place);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a published document that makes every process crash, hang or throw.
    void mutations_give_a_catalogue_or_a_place() {
        check_property("a mutated catalogue is read or refused with a place", [] {
            auto const text = *mutated(valid_catalogue);
            auto const read = catalogue::check_catalogue(text, "test.yaml");
            auto const lines = static_cast<std::uint32_t>(std::ranges::count(text, '\n')) + 1;
            RC_ASSERT(read.value.has_value() == read.errors.empty());
            RC_ASSERT(std::ranges::all_of(read.errors, [&](yaml_reader::diagnostic const& item) {
                return item.at.line >= 1 && item.at.line <= lines && item.at.column >= 1;
            }));
            RC_CLASSIFY(read.value.has_value(), "accepted");
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_property_test);

} // namespace cyclamenledge::tests
