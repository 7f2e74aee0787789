#pragma once

#include "support/table_test.h"
#include "yaml_reader/diagnostic.h"

#include <cppunit/TestAssert.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenledge::tests {

/// An edit that makes a valid document malformed, and the first error that it must give.
struct malformed_document {
    std::string_view name;
    std::string_view from;
    std::string to;
    std::string path;
    std::uint32_t line;
};

/// The text with the first occurrence of `from` replaced. Fails when there is none, since the test would prove nothing.
inline std::string replaced(std::string_view text, std::string_view from, std::string_view to) {
    auto const start = text.find(from);
    CPPUNIT_ASSERT_MESSAGE("nothing to replace: " + std::string{from}, start != std::string_view::npos);
    return std::string{text}.replace(start, from.size(), to);
}

/// Applies each edit to a valid document and compares the first error.
template <class Table, class Check>
void check_malformed(Table const& rows, std::string_view valid, Check const& check) {
    for_each_row(rows, [&](malformed_document const& row) {
        auto const read = check(replaced(valid, row.from, row.to), "test.yaml");
        CPPUNIT_ASSERT_MESSAGE("accepted", !read.value && !read.errors.empty());
        auto const& first = read.errors.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(to_text(first), row.path, first.path);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(to_text(first), row.line, first.at.line);
        CPPUNIT_ASSERT(first.file == "test.yaml" && !first.found.empty() && !first.allowed.empty());
    });
}

} // namespace cyclamenledge::tests
