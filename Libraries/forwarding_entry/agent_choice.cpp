#include "forwarding_entry/agent_choice.h"

#include "base/hash.h"
#include "settings/settings.h"

#include <algorithm>
#include <functional>
#include <iterator>

namespace cyclamenledge::forwarding_entry {

namespace {

std::vector<link::connection_pointer> connected_processes(link::hub const& hub, settings::process_role role) {
    std::vector<link::connection_pointer> found;
    std::ranges::copy_if(hub.ready_connections(), std::back_inserter(found), [role](auto const& connection) {
        return static_cast<settings::process_role>(connection->peer().role) == role;
    });
    return found;
}

} // namespace

std::vector<link::connection_pointer> connected_entries(link::hub const& hub) {
    return connected_processes(hub, settings::process_role::forwarding_entry);
}

std::vector<link::connection_pointer> choose_agents(link::hub const& hub, std::string_view key, std::size_t count) {
    auto agents = connected_processes(hub, settings::process_role::forwarding_agent);
    auto const chosen = static_cast<std::ptrdiff_t>(std::min(count, agents.size()));
    std::ranges::partial_sort(agents, agents.begin() + chosen, std::greater{},
                              [key](auto const& agent) { return base::rendezvous_score(key, agent->peer().process); });
    agents.resize(static_cast<std::size_t>(chosen));
    return agents;
}

} // namespace cyclamenledge::forwarding_entry
