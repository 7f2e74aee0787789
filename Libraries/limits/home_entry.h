#pragma once

#include "catalogue/catalogue.h"

#include <string_view>

namespace cyclamenledge::limits {

/// Returns the head office whose total an organisation counts towards. A head office counts towards its own total.
std::string_view head_office_of(catalogue::organisation const& member);

/// Returns the published entry that issues the credit of an organisation, or an empty name if no entry is published. It
/// is selected by rendezvous hashing of the head office, so that one entry issues the total of a head office.
std::string_view home_entry(catalogue::catalogue const& published, catalogue::organisation const& member);

} // namespace cyclamenledge::limits
