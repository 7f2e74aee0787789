#pragma once

#include "agent/generation_controller.h"
#include "link/connection_handler.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace cyclamenledge::agent {

/// The agent's side of one connection from an entry.
class entry_session : public link::connection_handler {
public:
    explicit entry_session(generation_controller& generations)
        : generations_(generations) {}

    void on_ready(link::connection& source) override;
    void on_frame(link::connection& source, wire::frame const& received) override;
    void on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) override;
    wire::schema::HeartbeatT heartbeat_content() override;
    void on_suspect(link::connection& source, membership::link_fault fault) override;
    void on_closed(link::connection& source, base::error const& reason) override;

private:
    using frame_action = void (entry_session::*)(link::connection&, wire::frame const&);
    struct frame_row {
        wire::message_kind kind;
        frame_action action;
    };
    static std::span<frame_row const> frame_table();

    void receive_submit_generation(link::connection& source, wire::frame const& received);
    void receive_cancel(link::connection& source, wire::frame const& received);
    void receive_window(link::connection& source, wire::frame const& received);

    generation_controller& generations_;
};

} // namespace cyclamenledge::agent
