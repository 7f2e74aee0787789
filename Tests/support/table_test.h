#pragma once

#include <cppunit/TestAssert.h>

#include <cstddef>
#include <string>

namespace cyclamenledge::tests {

/// Runs a check for each row of a table and names the row in the failure. Rows have a `name` member.
template <class Table, class Check>
void for_each_row(Table const& table, Check const& check) {
    CPPUNIT_ASSERT_MESSAGE("the table has no rows", std::size(table) > 0);
    for (auto const& row : table) {
        try {
            check(row);
        } catch (CppUnit::Exception& failure) {
            CppUnit::Message message = failure.message();
            message.addDetail("row: " + std::string(row.name));
            failure.setMessage(message);
            throw;
        }
    }
}

} // namespace cyclamenledge::tests
