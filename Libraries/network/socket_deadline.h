#pragma once

#include "base/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace cyclamenledge::network {

/// Closes a socket when its operations have taken too long. It may end before the socket and at any time: an expiry
/// that is already queued then finds no socket. All calls are made on the executor, which must not run handlers in
/// parallel.
class socket_deadline {
public:
    /// The limit counts from now.
    socket_deadline(boost::asio::any_io_executor const& executor, boost::asio::ip::tcp::socket& socket,
                    base::milliseconds limit);
    ~socket_deadline();
    socket_deadline(socket_deadline const&) = delete;
    socket_deadline& operator=(socket_deadline const&) = delete;

    /// Lifts the limit. Returns false if it has passed, in which case the socket is closed.
    bool lift();

private:
    struct watched : public boost::intrusive_ref_counter<watched> {
        /// Null once the limit has been lifted.
        boost::asio::ip::tcp::socket* socket{nullptr};

        void close();
    };

    boost::intrusive_ptr<watched> watched_;
    boost::asio::steady_timer timer_;
};

} // namespace cyclamenledge::network
