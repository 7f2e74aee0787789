#pragma once

#include "link/connection_handler.h"
#include "link/hub.h"

namespace cyclamenledge::link {

/// Forwards the events of a connection to the hub.
class hub_session : public connection_handler {
public:
    explicit hub_session(hub& owner)
        : hub_(owner) {}

    void on_ready(connection& source) override;
    void on_frame(connection& source, wire::frame const& received) override { hub_.on_frame(source, received); }
    void on_heartbeat(connection& source, wire::schema::HeartbeatT const& heartbeat) override {
        hub_.on_heartbeat(source, heartbeat);
    }
    wire::schema::HeartbeatT heartbeat_content() override { return hub_.heartbeat_content(); }
    /// Closes a suspect connection at once, so that its streams resume on a new one.
    void on_suspect(connection& source, membership::link_fault fault) override;
    void on_closed(connection& source, base::error const& reason) override;

protected:
    hub& owner() const { return hub_; }

private:
    hub& hub_;
};

} // namespace cyclamenledge::link
