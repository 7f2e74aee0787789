#pragma once

#include "link/connection.h"
#include "link/hub_observer.h"
#include "wire/authenticator.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::link {

class outbound_link;

/// All connections of one process to other processes of the system. Frames go to the handler of their kind, whoever
/// opened the connection. Handlers and observers are registered once and stay for good.
class hub {
public:
    using frame_handler = std::function<void(connection&, wire::frame const&)>;

    hub(boost::asio::io_context& context, wire::authenticator const& authenticator, peer_identity const& self,
        metrics::registry& metrics);
    ~hub();
    hub(hub const&) = delete;
    hub& operator=(hub const&) = delete;

    void set_handler(wire::message_kind kind, frame_handler handler);
    /// Registers a handler that takes the unpacked message.
    template <class Native, class Handler>
    void handle(Handler handler) {
        set_handler(wire::message_traits<Native>::kind,
                    [act = std::move(handler)](connection& source, wire::frame const& received) {
                        act(source, received.unpack<Native>());
                    });
    }
    void add_observer(hub_observer& observer);

    /// Binds the address (IP:PORT) and starts to accept connections.
    base::result<void> listen(std::string const& address);
    void stop_accepting();

    /// Keeps a connection to a peer until disconnect. With another address, the connection moves there.
    void connect(std::string const& peer, std::string const& address);
    void disconnect(std::string const& peer);
    /// Keeps a connection to whichever process answers at the address; its name comes from the handshake.
    void connect_address(std::string const& address);
    void disconnect_address(std::string const& address);

    /// Whether connect was called for the peer and disconnect was not.
    bool keeps(std::string_view peer) const;

    /// A connection to the peer that requests may use now, or null.
    connection_pointer find(std::string_view peer) const;
    std::vector<connection_pointer> all() const;

    // Called by connections and outbound links.
    void on_ready(connection& source);
    void on_frame(connection& source, wire::frame const& received);
    void on_heartbeat(connection& source, wire::schema::HeartbeatT const& heartbeat);
    void on_closed(connection& source, base::error const& reason);
    wire::schema::HeartbeatT heartbeat_content();

    boost::asio::io_context& context() { return context_; }
    wire::authenticator const& authenticator() const { return authenticator_; }
    peer_identity const& self() const { return self_; }
    metrics::registry& metrics() { return metrics_; }

private:
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(tcp::socket socket);
    void open_link(std::string const& key, std::string const& peer, std::string const& address);

    boost::asio::io_context& context_;
    wire::authenticator const& authenticator_;
    peer_identity const& self_;
    metrics::registry& metrics_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::span<hub_observer* const> observers() const { return {observers_.data(), observer_count_.load()}; }

    static constexpr std::size_t maximum_observers = 16;
    // Handlers and observers are added while frames arrive, so readers see them only when they are complete.
    std::array<std::atomic<frame_handler const*>, wire::message_kind_count> handlers_{};
    std::vector<std::unique_ptr<frame_handler const>> owned_handlers_;
    std::array<hub_observer*, maximum_observers> observers_{};
    std::atomic<std::size_t> observer_count_{0};

    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex mutex_;
    std::multimap<std::string, connection_pointer, std::less<>> ready_;
    /// By name of the peer, or by address where the name is not known. A name holds no colon.
    std::map<std::string, boost::intrusive_ptr<outbound_link>, std::less<>> outbound_;
};

} // namespace cyclamenledge::link
