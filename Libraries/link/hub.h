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

/// Manages the connections of this process to other processes of the system. Each frame is passed to the handler of its
/// kind, no matter which side opened the connection. Handlers and observers can't be unregistered.
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
                    [handle_message = std::move(handler)](connection& source, wire::frame const& received) {
                        handle_message(source, received.unpack<Native>());
                    });
    }
    void add_observer(hub_observer& observer);

    /// Binds the address (IP:PORT) and starts to accept connections.
    base::result<void> listen(std::string const& address);
    void stop_accepting();

    /// Maintains a connection to a peer until disconnect() is called. A call with another address replaces the
    /// connection.
    void connect(std::string const& peer, std::string const& address);
    void disconnect(std::string const& peer);
    /// Maintains a connection to any process at the address; the handshake provides its name.
    void connect_address(std::string const& address);
    void disconnect_address(std::string const& address);

    /// Whether the hub maintains a connection to the peer: connect() was called for it, and disconnect() was not called
    /// since.
    bool maintains(std::string_view peer) const;

    /// Returns the newest connection to the peer that is ready for requests, or null.
    connection_pointer find_connection(std::string_view peer) const;
    std::vector<connection_pointer> ready_connections() const;

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
    boost::asio::awaitable<void> complete_handshake(tcp::socket socket);
    void open_link(std::string const& key, std::string const& peer, std::string const& address);

    boost::asio::io_context& context_;
    wire::authenticator const& authenticator_;
    peer_identity const& self_;
    metrics::registry& metrics_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
    std::span<hub_observer* const> observers() const { return {observers_.data(), observer_count_.load()}; }

    static constexpr std::size_t maximum_observers = 16;
    // Handlers and observers are added while frames arrive. The atomics publish each one only after it has been stored.
    std::array<std::atomic<frame_handler const*>, wire::message_kind_count> handlers_{};
    std::vector<std::unique_ptr<frame_handler const>> owned_handlers_;
    std::array<hub_observer*, maximum_observers> observers_{};
    std::atomic<std::size_t> observer_count_{0};

    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex mutex_;
    std::multimap<std::string, connection_pointer, std::less<>> ready_;
    /// By name of the peer, or by address if the name is not known yet. The two can't collide, because names contain no
    /// colon.
    std::map<std::string, boost::intrusive_ptr<outbound_link>, std::less<>> outbound_;
};

} // namespace cyclamenledge::link
