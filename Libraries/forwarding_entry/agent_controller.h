#pragma once

#include "forwarding_entry/agent_directory.h"
#include "forwarding_entry/blackboard.h"
#include "link/hub.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Keeps a connection to the agent beside each engine and takes its reports.
class agent_controller {
public:
    agent_controller(link::hub& hub, blackboard& board, agent_directory& directory, std::uint16_t agent_port);

    /// Called after a report that changed what is known.
    void set_observer(std::function<void()> on_change) { on_change_ = std::move(on_change); }
    /// Connects to the agents of new engines, and drops those whose machine has had none for a while.
    void follow_targets(base::time_point now);

private:
    void take_report(wire::schema::EngineStateT const& report, std::string const& process);
    std::string agent_of(std::string const& target_address) const;

    link::hub& hub_;
    blackboard& board_;
    agent_directory& directory_;
    std::uint16_t agent_port_;
    std::function<void()> on_change_;
    /// Agents by address, with the time at which a target was last known beside them.
    std::map<std::string, base::time_point> agents_;
};

} // namespace cyclamenledge::forwarding_entry
