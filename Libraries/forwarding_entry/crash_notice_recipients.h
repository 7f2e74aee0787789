#pragma once

#include "link/hub.h"

#include <cstdint>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// The processes to which an entry sends notices about a fingerprint: the entries that it is connected to, and a few
/// agents, which pass them on. All entries choose the same agents while they are connected to the same ones, and an
/// entry that reaches an engine also reaches its agent, so notices arrive while entries cannot reach each other.
std::vector<link::connection_pointer> crash_notice_recipients(link::hub const& hub, std::uint64_t fingerprint);

} // namespace cyclamenledge::forwarding_entry
