#pragma once

#include "forwarding_entry/agent_controller.h"
#include "forwarding_entry/agent_directory.h"
#include "forwarding_entry/answer_limits.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/copy_slot_client.h"
#include "forwarding_entry/crash_detector.h"
#include "forwarding_entry/entry_parts.h"
#include "forwarding_entry/forwarder.h"
#include "forwarding_entry/peer_controller.h"
#include "forwarding_entry/placement_controller.h"
#include "forwarding_entry/publication_controller.h"
#include "forwarding_entry/readiness_handler.h"
#include "forwarding_entry/reservation_client.h"
#include "forwarding_entry/run_witness_client.h"
#include "forwarding_entry/store_controller.h"
#include "forwarding_entry/stream_origin_client.h"
#include "forwarding_entry/stream_registry.h"
#include "forwarding_entry/target_connections.h"
#include "forwarding_entry/target_notice_controller.h"
#include "http/server.h"
#include "process/operator_handler.h"
#include "process/role.h"
#include "process/runtime.h"

#include <memory>

namespace cyclamenledge::forwarding_entry {

/// An entry that forwards callers' requests unchanged to the targets that the metadata store lists.
class forwarding_entry_role : public process::role {
public:
    static base::result<std::unique_ptr<forwarding_entry_role>> create(process::runtime& daemon);

    base::result<void> start() override;
    void stop_accepting() override;
    void end_sessions() override { caller_server_.end_sessions(); }
    std::uint32_t open_sessions() const override { return caller_server_.open_sessions(); }
    bool able_to_serve() const override;
    /// Does nothing: the routes of this role come from the metadata store.
    base::result<void> apply_catalogue(catalogue::catalogue_pointer const&) override { return base::success(); }
    void on_membership_changed() override {}
    void on_configuration_confirmed(base::time_point) override {}
    boost::json::object state() const override;
    base::result<boost::json::object> explain(std::string_view organisation, std::string_view service) const override;

private:
    forwarding_entry_role(process::runtime& daemon, boost::asio::ip::tcp::endpoint store,
                          std::map<std::string, std::string> regions);

    boost::asio::awaitable<void> run_maintenance();
    void on_targets_change();
    void update_server_limits();

    process::runtime& daemon_;
    blackboard board_;
    base::random_source random_;
    publication_controller publications_;
    store_controller store_;
    peer_controller peers_;
    agent_directory agent_directory_;
    reservation_client reservations_;
    permit_controller permits_;
    target_notice_controller notices_;
    placement_controller placements_;
    target_connections connections_;
    base::byte_budget_pointer answer_memory_{new base::byte_budget{answer_memory_bytes}};
    copy_slot_client copy_slots_;
    stream_registry streams_;
    stream_origin_client stream_origins_;
    poison_control::poison_controller suspects_;
    run_witness_client witnesses_;
    crash_detector crashes_;
    agent_controller agents_;
    entry_parts parts_;
    forwarder forwarder_;
    process::operator_handler operators_;
    readiness_handler readiness_;
    http::server caller_server_;
    http::server readiness_server_;
    http::server operator_server_;
};

} // namespace cyclamenledge::forwarding_entry
