#pragma once

#include "base/result.h"
#include "base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::soak {

enum class proxy_mode : std::uint8_t {
    pass,
    /// Bytes arrive late.
    delay,
    /// Bytes of callers are held back; those of the server pass.
    cut_requests,
    /// Bytes of the server are held back; those of callers pass.
    cut_answers,
    /// Nothing passes, and connections stay open.
    silence,
    /// Every connection is reset, and each new one is closed.
    close,
};

/// Passes bytes between a loopback address and a server, and harms them on request.
class fault_proxy {
public:
    fault_proxy(boost::asio::io_context& context, std::string const& server);

    base::result<void> listen(std::string const& address);
    /// Refuses new connections while the server is down, as its own address would.
    void stop_listening();
    base::result<void> resume_listening();
    void set_mode(proxy_mode mode);
    /// Resets all connections once. Later ones pass.
    void reset_connections();
    /// Ends all connections once, as the server's process does when it is killed.
    void end_connections();

private:
    struct link : public boost::intrusive_ref_counter<link>,
                  public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        link(boost::asio::ip::tcp::socket accepted, boost::asio::io_context& context)
            : caller(std::move(accepted))
            , server(context) {}
        boost::asio::ip::tcp::socket caller;
        boost::asio::ip::tcp::socket server;
        void close();
        /// Shows both sides that the other one did not end the connection.
        void reset();
    };
    using link_pointer = boost::intrusive_ptr<link>;

    std::vector<link_pointer> open_links();
    base::result<void> open_acceptor();
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> open(link_pointer made);
    boost::asio::awaitable<void> pass(link_pointer made, bool from_caller);
    boost::asio::awaitable<void> hold(link const& made, bool from_caller);
    boost::asio::awaitable<void> pause(base::milliseconds length);

    boost::asio::io_context& context_;
    boost::asio::ip::tcp::endpoint server_;
    boost::asio::ip::tcp::endpoint address_;
    boost::asio::ip::tcp::acceptor acceptor_;
    proxy_mode mode_{proxy_mode::pass};
    boost::intrusive::list<link, boost::intrusive::constant_time_size<false>> links_;
};

} // namespace cyclamenledge::soak
