#pragma once

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace cyclamenledge::tests {

/// Checks a rapidcheck property inside a CppUnit test. RC_PARAMS sets the seed and the number of cases.
template <class Property>
void check_property(std::string const& description, Property&& property) {
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, std::forward<Property>(property)));
}

} // namespace cyclamenledge::tests
