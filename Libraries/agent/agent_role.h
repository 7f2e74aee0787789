#pragma once

#include "agent/blackboard.h"
#include "agent/target_part.h"
#include "http/server.h"
#include "process/operator_handler.h"
#include "process/role.h"
#include "process/runtime.h"

#include <atomic>
#include <memory>

namespace cyclamenledge::agent {

/// The daemon beside a target.
class agent_role : public process::role, public link::hub_observer {
public:
    static base::result<std::unique_ptr<agent_role>> create(process::runtime& daemon);

    base::result<void> start() override;
    void stop_accepting() override;
    bool able_to_serve() const override;
    base::result<void> apply_catalogue(catalogue::catalogue_pointer const& published) override;
    void on_membership_changed() override;
    void on_configuration_confirmed(base::time_point as_of) override;
    void fill_heartbeat(wire::schema::HeartbeatT& content) override;
    boost::json::object state() const override;
    base::result<boost::json::object> explain(std::string_view organisation, std::string_view service) const override;

private:
    agent_role(process::runtime& daemon, boost::asio::ip::tcp::endpoint target);

    void follow_service_state(catalogue::catalogue const& earlier, catalogue::catalogue const& published);
    membership::target_eligibility own_eligibility() const;

    process::runtime& daemon_;
    // Mutable because a snapshot of admission brings its sums up to date.
    mutable blackboard board_;
    boost::asio::ip::tcp::endpoint target_;
    /// Made for the first catalogue, whose service decides on its kind. Used by apply_catalogue only.
    std::unique_ptr<target_part> part_;
    catalogue::service_kind kind_{};
    std::atomic<target_part*> started_part_{nullptr};
    process::operator_handler operators_;
    http::server operator_server_;
};

} // namespace cyclamenledge::agent
