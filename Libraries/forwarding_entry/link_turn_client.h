#pragma once

#include "forwarding_entry/agent_directory.h"
#include "link/hub.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Asks the agent beside a leaving engine for the engine's link before memory is copied over it.
class link_turn_client {
public:
    link_turn_client(boost::asio::io_context& context, link::hub& hub, agent_directory& agents);

    struct wish {
        /// Address of the leaving engine, IP:PORT.
        std::string engine;
        std::string request;
        std::uint32_t tokens{0};
        base::milliseconds remaining{};
    };

    /// Returns when it is the request's turn, or after a while without an answer: an agent that is gone must not keep
    /// a request from being saved.
    boost::asio::awaitable<void> wait_for_turn(wish wanted);
    void end_turn(std::string const& engine, std::string const& request);

private:
    boost::asio::io_context& context_;
    agent_directory& agents_;
    /// Timers of the requests that wait, cancelled when their turn comes.
    std::map<std::string, boost::asio::steady_timer*> waiting_;
};

} // namespace cyclamenledge::forwarding_entry
