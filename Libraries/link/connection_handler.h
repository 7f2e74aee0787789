#pragma once

#include "base/error.h"
#include "membership/link_monitor.h"
#include "wire/frame.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace cyclamenledge::link {

class connection;

/// What a process does with the frames of a connection. Calls for one connection don't overlap.
class connection_handler : public boost::intrusive_ref_counter<connection_handler> {
public:
    connection_handler() = default;
    connection_handler(connection_handler const&) = delete;
    connection_handler& operator=(connection_handler const&) = delete;
    virtual ~connection_handler() = default;

    /// The peer's first heartbeat has arrived; requests may be sent from now on.
    virtual void on_ready(connection& source) = 0;
    /// Any frame but heartbeats.
    virtual void on_frame(connection& source, wire::frame const& received) = 0;
    virtual void on_heartbeat(connection& source, wire::schema::HeartbeatT const& heartbeat) = 0;
    /// Load hint and configuration revision of the next heartbeat; the connection fills in the rest.
    virtual wire::schema::HeartbeatT heartbeat_content() = 0;
    /// The link has been silent in one direction. Called once per tick while that lasts.
    virtual void on_suspect(connection& source, membership::link_fault fault) = 0;
    /// The last call for a connection.
    virtual void on_closed(connection& source, base::error const& reason) = 0;
};

using handler_pointer = boost::intrusive_ptr<connection_handler>;

} // namespace cyclamenledge::link
