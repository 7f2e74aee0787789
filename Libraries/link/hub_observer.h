#pragma once

#include "base/error.h"
#include "wire/frame.h"

namespace cyclamenledge::link {

class connection;

/// Receives the connection events of a hub. Called on the executor of the connection, without locks held.
class hub_observer {
public:
    hub_observer() = default;
    hub_observer(hub_observer const&) = delete;
    hub_observer& operator=(hub_observer const&) = delete;
    virtual ~hub_observer() = default;

    virtual void on_connected(connection&) {}
    virtual void on_heartbeat(connection&, wire::schema::HeartbeatT const&) {}
    virtual void on_disconnected(connection&, base::error const&) {}
    /// Sets the observer's fields in the next heartbeat.
    virtual void fill_heartbeat(wire::schema::HeartbeatT&) {}
};

} // namespace cyclamenledge::link
