#pragma once

#include "base/name_table.h"
#include "catalogue/catalogue.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::catalogue {

enum class change_kind : std::uint8_t { added, removed, changed };

inline constexpr base::name_table<change_kind, 3> change_kind_names{base::make_names({"added", "removed", "changed"})};

/// A value of an item that is not the same in both catalogues.
struct value_change {
    /// Such as `requests per second`.
    std::string_view value;
    std::string before;
    std::string after;
};

/// An item that is not the same in two catalogues. Items are matched by name, so a new name is an addition and a
/// removal.
struct difference {
    change_kind kind{change_kind::changed};
    /// Such as `service class`; `catalogue` for the document as a whole.
    std::string_view item;
    /// Empty for the catalogue as a whole.
    std::string name;
    /// Empty unless the item is in both catalogues.
    std::vector<value_change> values;
    /// What the change means for callers and targets, a sentence each.
    std::vector<std::string> effects;
    /// Services whose calls the change affects, in either catalogue, in the order of their names.
    std::vector<std::string> services;
    /// Organisations that may call these services or are changed themselves, likewise.
    std::vector<std::string> organisations;
};

/// All differences, in the order of the sections; empty if both catalogues have the same items and revision.
std::vector<difference> compare(catalogue const& before, catalogue const& after);

/// One line for the item and one for each value and effect, without the last line end.
std::string to_text(difference const& item);

} // namespace cyclamenledge::catalogue
