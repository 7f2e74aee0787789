#pragma once

#include "link/hub.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// The connected entries.
std::vector<link::connection_pointer> connected_entries(link::hub const& hub);

/// Chooses some of the connected agents for a key by rendezvous hashing. All entries choose the same ones while they
/// are connected to the same agents.
std::vector<link::connection_pointer> choose_agents(link::hub const& hub, std::string_view key, std::size_t count);

} // namespace cyclamenledge::forwarding_entry
