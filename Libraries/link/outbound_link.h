#pragma once

#include "link/hub_session.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <string>

namespace cyclamenledge::link {

/// Keeps one connection to a peer and opens a fresh one whenever it is lost.
class outbound_link : public hub_session {
public:
    /// An empty peer name accepts any other process at the address.
    outbound_link(hub& owner, std::string peer, std::string address);

    void start();
    void stop();
    std::string const& address() const { return address_; }

    void on_closed(connection& source, base::error const& reason) override;

private:
    using self_pointer = boost::intrusive_ptr<outbound_link>;

    boost::asio::awaitable<void> keep_connected(self_pointer self);
    boost::asio::awaitable<bool> open();
    boost::asio::awaitable<void> wait_for_change(base::duration longest);
    bool stopped() const;
    bool connected() const;
    bool expected(std::string const& process) const;

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
