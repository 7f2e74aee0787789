#pragma once

#include "link/connection_handler.h"
#include "link/frame_io.h"
#include "link/peer_identity.h"
#include "metrics/registry.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenledge::link {

/// An authenticated connection to another process. It multiplexes the frames of many requests. Frames may be sent from
/// any thread; they are received one at a time on the executor of the socket.
class connection : public boost::intrusive_ref_counter<connection> {
public:
    connection(tcp::socket socket, peer_identity peer, handler_pointer handler, metrics::registry& metrics);

    /// Starts to receive frames. The connection keeps the handler alive until on_closed has returned.
    void start();

    template <class Native>
    void send(Native const& message) {
        send_frame(wire::message_traits<Native>::kind, wire::encode(message));
    }

    /// Closes the socket. The handler's on_closed is called later with the given reason.
    void close(base::error reason);

    peer_identity const& peer() const { return peer_; }
    /// Identifies the connection within this process.
    std::uint64_t number() const { return number_; }
    /// The newest heartbeat timestamp of the peer. Messages whose age matters to the peer echo it. Zero before the
    /// first heartbeat.
    std::uint64_t peer_stamp() const { return peer_stamp_.load(std::memory_order_relaxed); }
    /// Age of a timestamp of this process that a peer has echoed.
    static base::duration stamp_age(std::uint64_t stamp, base::time_point now);
    bool open() const { return !closed_.load(std::memory_order_relaxed); }

private:
    using self_pointer = boost::intrusive_ptr<connection>;

    void send_frame(wire::message_kind kind, std::string bytes);
    boost::asio::awaitable<void> receive_frames(self_pointer self);
    boost::asio::awaitable<void> write_outbox(self_pointer self);
    boost::asio::awaitable<void> send_heartbeats(self_pointer self);
    void send_heartbeat(base::time_point now);
    void receive_heartbeat(wire::schema::HeartbeatT const& heartbeat);
    void count_traffic(wire::message_kind kind, std::size_t bytes, bool received);
    void shut_down(base::error reason);

    tcp::socket socket_;
    peer_identity peer_;
    handler_pointer handler_;
    metrics::registry& metrics_;
    std::uint64_t number_;
    membership::link_monitor monitor_;
    std::atomic<std::uint64_t> peer_stamp_{0};

    // Leaf lock: no other lock is taken while it is held.
    std::mutex outbox_mutex_;
    std::vector<std::string> outbox_;
    std::size_t outbox_bytes_{0};
    bool writing_{false};
    std::atomic<bool> closed_{false};
};

using connection_pointer = boost::intrusive_ptr<connection>;

} // namespace cyclamenledge::link
