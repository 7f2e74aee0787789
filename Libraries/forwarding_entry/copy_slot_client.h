#pragma once

#include "forwarding_entry/agent_directory.h"
#include "link/hub.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Requests a copy slot from the agent beside a leaving engine before memory is copied over the engine's link.
class copy_slot_client {
public:
    copy_slot_client(boost::asio::io_context& context, link::hub& hub, agent_directory& agents);

    struct slot_request {
        /// Address of the leaving engine, IP:PORT.
        std::string engine;
        std::string request;
        std::uint32_t tokens{0};
        base::milliseconds remaining{};
    };

    /// Returns when the agent grants the slot, at once when no agent is connected, and after a timeout without a grant:
    /// an unreachable agent must not prevent the copy.
    boost::asio::awaitable<void> acquire_slot(slot_request slot);
    void release_slot(std::string const& engine, std::string const& request);

private:
    boost::asio::io_context& context_;
    agent_directory& agents_;
    /// Request id to the timer of its wait, which the grant cancels.
    std::map<std::string, boost::asio::steady_timer*> waiting_;
};

} // namespace cyclamenledge::forwarding_entry
