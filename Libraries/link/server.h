#pragma once

#include "link/connection.h"
#include "wire/authenticator.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <string>

namespace cyclamenledge::link {

/// Accepts connections of other processes, authenticates them and hands each to a handler.
class server {
public:
    using handler_factory = std::function<handler_pointer(peer_identity const&)>;
    using connection_sink = std::function<void(connection_pointer const&)>;

    server(boost::asio::io_context& context, wire::authenticator const& authenticator, peer_identity self,
           metrics::registry& metrics, handler_factory make_handler, connection_sink on_connection);

    /// Binds the address (IP:PORT) and starts to accept.
    base::result<void> listen(std::string const& address);
    void stop_accepting();

private:
    boost::asio::awaitable<void> accept_connections();
    boost::asio::awaitable<void> serve(tcp::socket socket);

    boost::asio::io_context& context_;
    wire::authenticator const& authenticator_;
    peer_identity self_;
    metrics::registry& metrics_;
    handler_factory make_handler_;
    connection_sink on_connection_;
    tcp::acceptor acceptor_;
    std::atomic<bool> stopping_{false};
};

} // namespace cyclamenledge::link
