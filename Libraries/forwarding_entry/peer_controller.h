#pragma once

#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/publication_controller.h"
#include "forwarding_entry/store_controller.h"
#include "link/hub.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Learns published documents from other entries while the metadata store is out of reach for this one, and tells
/// others what they ask for.
class peer_controller {
public:
    peer_controller(boost::asio::io_context& context, link::hub& hub, blackboard& board,
                    publication_controller& publications, store_controller& store);

    /// Connects to the given entries and starts to watch whether they are needed.
    void start(std::vector<std::string> const& peers, std::string const& own_address);

private:
    boost::asio::awaitable<void> ask_while_out_of_step();
    void ask();
    void answer(link::connection& asking, std::uint64_t after);
    void take(wire::schema::PublicationsT const& message, std::string const& peer);

    boost::asio::io_context& context_;
    link::hub& hub_;
    blackboard& board_;
    publication_controller& publications_;
    store_controller& store_;
    /// The newest revision up to which a peer has told everything.
    std::uint64_t told_up_to_{0};
};

} // namespace cyclamenledge::forwarding_entry
