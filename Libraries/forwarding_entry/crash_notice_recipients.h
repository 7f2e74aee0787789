#pragma once

#include "link/hub.h"
#include "poison_control/poison_controller.h"

#include <vector>

namespace cyclamenledge::forwarding_entry {

/// The processes to which an entry sends a notice: the entries that it is connected to, and a few agents, which pass it
/// on. All entries choose the same agents for a fingerprint while they are connected to the same ones, and an entry
/// that reaches an engine also reaches its agent, so notices arrive while entries cannot reach each other.
///
/// A notice from another entry is passed on to agents only. The other entries get it from its source or from an agent,
/// and if each entry passed it on to all, the messages would grow with the square of their number.
std::vector<link::connection_pointer> crash_notice_recipients(link::hub const& hub,
                                                              poison_control::outgoing_notice const& notice);

} // namespace cyclamenledge::forwarding_entry
