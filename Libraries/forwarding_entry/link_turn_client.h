#pragma once

#include "link/hub.h"
#include "link/hub_observer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Asks the agent beside a leaving engine for the engine's link before memory is copied over it.
class link_turn_client {
public:
    link_turn_client(boost::asio::io_context& context, link::hub& hub);

    struct wish {
        /// Address of the agent, IP:PORT.
        std::string agent;
        std::string request;
        std::uint32_t tokens{0};
        base::milliseconds remaining{};
    };

    /// Returns when it is the request's turn, or after a while without an answer: an agent that is gone must not keep
    /// a request from being saved.
    boost::asio::awaitable<void> wait_for_turn(wish wanted);
    void end_turn(std::string const& agent, std::string const& request);

    /// The connection to the agent at the address, or null.
    link::connection_pointer find_agent(std::string const& address) const;
    void set_agent(std::string const& address, std::string process) { agents_[address] = std::move(process); }

private:
    boost::asio::io_context& context_;
    link::hub& hub_;
    /// Timers of the requests that wait, cancelled when their turn comes.
    std::map<std::string, boost::asio::steady_timer*> waiting_;
    /// Names of the agents by address.
    std::map<std::string, std::string> agents_;
};

} // namespace cyclamenledge::forwarding_entry
