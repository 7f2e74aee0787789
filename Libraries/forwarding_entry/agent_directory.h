#pragma once

#include "link/hub.h"

#include <map>
#include <string>
#include <utility>

namespace cyclamenledge::forwarding_entry {

/// Maps an engine's address to the process that is its agent.
class agent_directory {
public:
    explicit agent_directory(link::hub& hub)
        : hub_(hub) {}

    void set(std::string const& engine_address, std::string process) { agents_[engine_address] = std::move(process); }
    /// Returns the connection to the agent beside the engine, or null.
    link::connection_pointer find(std::string const& engine_address) const;

private:
    link::hub& hub_;
    std::map<std::string, std::string> agents_;
};

} // namespace cyclamenledge::forwarding_entry
