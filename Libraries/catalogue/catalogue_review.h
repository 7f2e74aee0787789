#pragma once

#include "base/name_table.h"
#include "catalogue/catalogue.h"
#include "yaml_reader/node.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::catalogue {

/// What is wrong with an item of a valid catalogue.
enum class finding_kind : std::uint8_t {
    /// Nothing in the catalogue refers to the item.
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

/// Something in a valid catalogue that its author hardly meant.
struct finding {
    finding_kind kind{finding_kind::unused};
    /// Line 1, column 1 until locate() has run.
    yaml_reader::place at;
    /// Such as `organisations[3].stretch`.
    std::string path;
    std::string found;
    std::string advice;
};

/// Most findings of one review, which bounds its memory for a catalogue that is wrong everywhere.
inline constexpr std::size_t maximum_findings = 1000;

/// All findings, in the order of the sections. The result depends on the catalogue alone: neither the time nor the
/// state of processes counts, so a target that is out of service is taken to stay out.
std::vector<finding> review(catalogue const& subject);

/// Sets the place of each finding from the document of the catalogue, and sorts the findings by place.
void locate(std::vector<finding>& findings, yaml_reader::node const& root);

/// `FILE:LINE:COLUMN: PATH: warning: found ...; advice: ...`
std::string to_text(finding const& item, std::string const& file);

} // namespace cyclamenledge::catalogue
