#pragma once

#include "entry/blackboard.h"
#include "link/connection.h"
#include "process/runtime.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <span>
#include <string>

namespace cyclamenledge::entry {

/// Keeps a connection to one agent and hands its frames to the attempts that wait for them.
class agent_link : public link::connection_handler {
public:
    agent_link(process::runtime& daemon, blackboard& board, std::string target, std::string address);

    void start();
    /// Ends the link for good, after the target has left the entry's subset.
    void stop();

    std::string const& target() const { return target_; }
    std::string const& address() const { return address_; }
    /// The connection that requests may use now, or null.
    link::connection_pointer ready_connection() const;

    void on_ready(link::connection& source) override;
    void on_frame(link::connection& source, wire::frame const& received) override;
    void on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) override;
    wire::schema::HeartbeatT heartbeat_content() override;
    void on_suspect(link::connection& source, membership::link_fault fault) override;
    void on_closed(link::connection& source, base::error const& reason) override;

private:
    using self_pointer = boost::intrusive_ptr<agent_link>;
    using frame_action = void (agent_link::*)(link::connection&, wire::frame const&);
    struct frame_row {
        wire::message_kind kind;
        frame_action action;
    };
    static std::span<frame_row const> frame_table();

    boost::asio::awaitable<void> keep_connected(self_pointer self);
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> wait_for_change(base::duration longest);
    bool connected() const;
    template <class Message>
    void pass_on(link::connection& source, wire::frame const& received);
    void update_hint(wire::schema::LoadHintT const& hint);
    void lose(link::connection& source, base::error const& reason);

    process::runtime& daemon_;
    blackboard& board_;
    std::string target_;
    std::string address_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    boost::asio::steady_timer change_timer_;

    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex mutex_;
    link::connection_pointer ready_;
    /// Connected, but without a first heartbeat.
    link::connection_pointer pending_;
    bool stopped_{false};
};

using agent_link_pointer = boost::intrusive_ptr<agent_link>;

} // namespace cyclamenledge::entry
