#pragma once

#include "link/hub_session.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <string>

namespace cyclamenledge::link {

/// Maintains one connection to a peer and reconnects with backoff when it is lost.
class outbound_link : public hub_session {
public:
    /// With an empty peer name, any process except this one is accepted at the address.
    outbound_link(hub& owner, std::string peer, std::string address);

    void start();
    void stop();
    std::string const& address() const { return address_; }

    void on_closed(connection& source, base::error const& reason) override;

private:
    using self_pointer = boost::intrusive_ptr<outbound_link>;

    boost::asio::awaitable<void> maintain_connection(self_pointer self);
    boost::asio::awaitable<bool> open_connection();
    boost::asio::awaitable<void> wait_for_change(base::duration maximum_wait);
    bool stopped() const;
    bool connected() const;
    bool accepts_peer(std::string const& process) const;

    std::string peer_;
    std::string address_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer change_timer_;

    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex mutex_;
    connection_pointer current_;
    bool stopped_{false};
};

} // namespace cyclamenledge::link
