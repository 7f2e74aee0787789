#pragma once

#include "forwarding/target_notices.h"
#include "forwarding_entry/entry_parts.h"
#include "platform/request_headers.h"

#include <string>

namespace cyclamenledge::forwarding_entry {

/// Applies the load that an answer of the target states, if the settings say that paces are followed. Counts a
/// malformed one.
/// @return the stated pace, or zero if there is none
double apply_stated_load(entry_parts& parts, std::string const& service, forwarding::target_incarnation const& target,
                         platform::answer_metadata const& answer);

} // namespace cyclamenledge::forwarding_entry
