#pragma once

#include "base/error.h"
#include "membership/link_monitor.h"
#include "wire/frame.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace cyclamenledge::link {

class connection;

/// Handles the events of a connection. Calls for one connection don't overlap.
class connection_handler : public boost::intrusive_ref_counter<connection_handler> {
public:
    connection_handler() = default;
    connection_handler(connection_handler const&) = delete;
    connection_handler& operator=(connection_handler const&) = delete;
    virtual ~connection_handler() = default;

    /// Called when the peer's first heartbeat has been received. Requests may be sent from now on.
    virtual void on_ready(connection& source) = 0;
    /// Called for every frame except heartbeats.
    virtual void on_frame(connection& source, wire::frame const& received) = 0;
    virtual void on_heartbeat(connection& source, wire::schema::HeartbeatT const& heartbeat) = 0;
    /// Returns the next heartbeat with its load hint and configuration revision; the connection sets the other fields.
    virtual wire::schema::HeartbeatT heartbeat_content() = 0;
    /// Called once per tick while one direction of the link has exceeded the heartbeat timeout.
    virtual void on_suspect(connection& source, membership::link_fault fault) = 0;
    /// Called when the connection has been closed, after all other calls.
    virtual void on_closed(connection& source, base::error const& reason) = 0;
};

using handler_pointer = boost::intrusive_ptr<connection_handler>;

} // namespace cyclamenledge::link
