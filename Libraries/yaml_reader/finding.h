#pragma once

#include "base/name_table.h"
#include "yaml_reader/node.h"
#include "yaml_reader/path.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::yaml_reader {

/// What is wrong with an item of a valid document.
enum class finding_kind : std::uint8_t {
    /// Nothing in the document refers to the item.
    unused,
    /// Requests that the item is for are always refused.
    never_serves,
    /// A value that changes nothing beside the other values.
    no_effect,
    /// Two values that cannot both be met.
    contradiction
};

inline constexpr base::name_table<finding_kind, 4> finding_kind_names{
    base::make_names({"unused", "never_serves", "no_effect", "contradiction"})};

/// Something in a valid document that its author hardly meant.
struct finding {
    finding_kind kind{finding_kind::unused};
    /// Line 1, column 1 until locate() has run.
    yaml_reader::place at;
    /// Such as `organisations[3].stretch`.
    std::string path;
    std::string found;
    std::string advice;
};

/// Largest number of findings of one review, which bounds its memory for a document that is wrong everywhere.
inline constexpr std::size_t maximum_findings = 1000;

/// Collects findings, bounded like violations.
class findings {
public:
    void add(finding_kind kind, path const& at, std::string found, std::string advice) {
        if (items_.size() < maximum_findings)
            items_.push_back({kind, {}, at.text(), std::move(found), std::move(advice)});
    }
    std::vector<finding> take() { return std::move(items_); }

private:
    std::vector<finding> items_;
};

/// Sets the place of each finding from its document, and sorts the findings by place.
void locate(std::vector<finding>& found, yaml_reader::node const& root);

/// `FILE:LINE:COLUMN: PATH: warning: found ...; advice: ...`
std::string to_text(finding const& item, std::string const& file);

} // namespace cyclamenledge::yaml_reader
