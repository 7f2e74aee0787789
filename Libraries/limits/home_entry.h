#pragma once

#include "catalogue/catalogue.h"

#include <string_view>

namespace cyclamenledge::limits {

/// The head office whose total an organisation counts towards: its own name for a head office.
std::string_view family_of(catalogue::organisation const& member);

/// The published entry that issues the credit of an organisation, by rendezvous hashing of its family, so that one
/// entry sees the total of a head office. Empty when no entry is published.
std::string_view home_entry(catalogue::catalogue const& published, catalogue::organisation const& member);

} // namespace cyclamenledge::limits
