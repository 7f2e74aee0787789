#pragma once

#include "forwarding_entry/agent_directory.h"
#include "forwarding_entry/blackboard.h"
#include "link/hub.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Maintains a connection to the agent beside each engine and applies the agent's reports to the fleet view.
class agent_controller {
public:
    agent_controller(link::hub& hub, blackboard& board, agent_directory& directory, std::uint16_t agent_port);

    /// The observer is called after each report.
    void set_observer(std::function<void()> on_change) { on_change_ = std::move(on_change); }
    /// Connects to the agents of new engines and disconnects agents whose machine has had no engine for a while.
    void update_connections(base::time_point now);

private:
    void apply_report(wire::schema::EngineStateT const& report, std::string const& process);
    std::string agent_address(std::string const& target_address) const;

    link::hub& hub_;
    blackboard& board_;
    agent_directory& directory_;
    std::uint16_t agent_port_;
    std::function<void()> on_change_;
    /// Agent address to the time at which a target beside the agent was last listed.
    std::map<std::string, base::time_point> agents_;
};

} // namespace cyclamenledge::forwarding_entry
