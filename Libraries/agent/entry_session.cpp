#include "agent/entry_session.h"

#include "link/connection.h"
#include "log/logger.h"

#include <algorithm>

namespace cyclamenledge::agent {

std::span<entry_session::frame_row const> entry_session::frame_table() {
    static constexpr frame_row rows[] = {
        {wire::message_kind::submit_generation, &entry_session::receive_submit_generation},
        {wire::message_kind::cancel, &entry_session::receive_cancel},
        {wire::message_kind::window, &entry_session::receive_window},
    };
    return rows;
}

void entry_session::on_ready(link::connection& source) {
    log::write(log::event_kind::link_up, {{"peer", source.peer().process}});
}

void entry_session::on_frame(link::connection& source, wire::frame const& received) {
    auto const rows = frame_table();
    auto const row = std::ranges::find(rows, received.kind(), &frame_row::kind);
    if (row == rows.end()) {
        source.close(
            base::make_error(base::error_kind::protocol_error,
                             "an agent does not take " + std::string(wire::definition_of(received.kind()).name)));
        return;
    }
    (this->*row->action)(source, received);
}

void entry_session::on_heartbeat(link::connection&, wire::schema::HeartbeatT const&) {}

wire::schema::HeartbeatT entry_session::heartbeat_content() {
    wire::schema::HeartbeatT content;
    content.load = std::make_unique<wire::schema::LoadHintT>(generations_.hint());
    return content;
}

void entry_session::on_suspect(link::connection& source, membership::link_fault fault) {
    // Only the entry opens connections, so the agent's way to a fresh one is to end the silent one.
    log::write(log::event_kind::link_suspect,
               {{"peer", source.peer().process}, {"silent", membership::name_of(fault)}});
    source.close(base::make_error(base::error_kind::link_lost, "the link was silent"));
}

void entry_session::on_closed(link::connection& source, base::error const& reason) {
    log::write(log::event_kind::link_down, {{"peer", source.peer().process}, {"reason", reason.message}});
    generations_.on_connection_closed(source);
}

void entry_session::receive_submit_generation(link::connection& source, wire::frame const& received) {
    generations_.submit(source, received.unpack<wire::schema::SubmitGenerationT>());
}

void entry_session::receive_cancel(link::connection& source, wire::frame const& received) {
    generations_.cancel(source, received.unpack<wire::schema::CancelT>().attempt);
}

void entry_session::receive_window(link::connection& source, wire::frame const& received) {
    auto const message = received.unpack<wire::schema::WindowT>();
    generations_.acknowledge(source, message.attempt, message.acknowledged);
}

} // namespace cyclamenledge::agent
