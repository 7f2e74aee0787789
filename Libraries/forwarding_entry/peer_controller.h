#pragma once

#include "forwarding/store_relay_table.h"
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

/// Distributes published documents between entries. The entries that the settings name as peers watch the metadata
/// store and relay each change to the others, with the age of what they know; an entry whose relays know nothing recent
/// reads the store itself. An
/// entry that the store refuses requests the changes that it lacks from its peers.
class peer_controller : private link::hub_observer {
public:
    peer_controller(boost::asio::io_context& context, link::hub& hub, blackboard& board,
                    publication_controller& publications, store_controller& store);

    /// Connects to the given entries and starts the loop that requests missing changes and relays new ones.
    void start(std::vector<std::string> const& peers, std::string const& own_address);
    /// Sends new changes to the entries that follow this one. Called after each change.
    void relay_changes();
    /// Tells them that the store has confirmed the known state, unless they were told shortly before.
    void relay_confirmation();
    forwarding::store_relay_table const& relays() const { return relays_; }

private:
    boost::asio::awaitable<void> run_sync_loop();
    void request_changes();
    void answer_request(link::connection& requester, wire::schema::PublicationRequestT const& request);
    void send_changes(link::connection& peer, forwarding::store_revision const& after);
    /// Sends the configuration to a peer that has an older one, because the store may have come back with that.
    void send_newer_configuration(link::connection& peer, std::uint64_t version);
    wire::schema::PublicationRequestT make_request() const;
    /// Every entry connects to the entries that the settings name as peers, so these can count all entries.
    void count_entries();
    void on_connected(link::connection& peer) override;
    void on_disconnected(link::connection& peer, base::error const& reason) override;
    void apply_changes(wire::schema::PublicationsT const& message, std::string const& peer);

    boost::asio::io_context& context_;
    link::hub& hub_;
    blackboard& board_;
    publication_controller& publications_;
    store_controller& store_;
    /// The newest revision up to which a peer has sent all changes.
    forwarding::store_revision received_revision_;
    /// Whether this entry receives changes from store relays. False for the relays themselves, which watch the store.
    bool uses_relays_{false};
    /// Entries that the settings name. There are at least as many entries.
    std::size_t named_peers_{0};
    forwarding::store_relay_table relays_;
    struct follower {
        link::connection_pointer connection;
        /// The revision up to which the follower was sent all changes.
        forwarding::store_revision relayed_revision;
    };
    std::map<std::uint64_t, follower> followers_;
    base::time_point last_relay_at_{};
    /// For when the state that was relayed last was confirmed.
    base::time_point relayed_confirmation_{};
};

} // namespace cyclamenledge::forwarding_entry
