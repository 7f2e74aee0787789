#pragma once

#include "forwarding/feed_table.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/publication_controller.h"
#include "forwarding_entry/store_controller.h"
#include "link/hub.h"
#include "link/hub_observer.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Spreads published documents between entries. The entries that the settings name as peers watch the metadata store
/// and tell the others of each change; an entry that hears from too few of them watches the store itself. An entry that
/// the store turns away asks its peers for what it has missed.
class peer_controller : private link::hub_observer {
public:
    peer_controller(boost::asio::io_context& context, link::hub& hub, blackboard& board,
                    publication_controller& publications, store_controller& store);

    /// Connects to the given entries and starts to watch whether they are needed.
    void start(std::vector<std::string> const& peers, std::string const& own_address);
    /// Tells the entries that follow this one. Called after each change.
    void tell_followers();
    forwarding::feed_table const& feeds() const { return feeds_; }

private:
    boost::asio::awaitable<void> keep_in_step();
    void ask();
    void answer(link::connection& asking, std::uint64_t after);
    void send_changes(link::connection& peer, std::uint64_t after);
    void on_up(link::connection& peer) override;
    void on_down(link::connection& peer, base::error const& reason) override;
    void take(wire::schema::PublicationsT const& message, std::string const& peer);

    boost::asio::io_context& context_;
    link::hub& hub_;
    blackboard& board_;
    publication_controller& publications_;
    store_controller& store_;
    /// The newest revision up to which a peer has told everything.
    std::uint64_t told_up_to_{0};
    /// Whether this entry relies on others. The entries that others rely on watch the store.
    bool follows_{false};
    forwarding::feed_table feeds_;
    struct follower {
        link::connection_pointer connection;
        /// The revision up to which it was told everything.
        std::uint64_t told{0};
    };
    std::map<std::uint64_t, follower> followers_;
    base::time_point told_at_{};
};

} // namespace cyclamenledge::forwarding_entry
