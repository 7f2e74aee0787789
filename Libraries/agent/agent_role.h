#pragma once

#include "agent/blackboard.h"
#include "agent/engine_client.h"
#include "agent/generation_controller.h"
#include "http/server.h"
#include "process/operator_handler.h"
#include "process/role.h"
#include "process/runtime.h"

#include <memory>

namespace cyclamenledge::agent {

/// The daemon beside a target.
class agent_role : public process::role {
public:
    static base::result<std::unique_ptr<agent_role>> create(process::runtime& daemon);

    base::result<void> start() override;
    void stop_accepting() override;
    bool able_to_serve() const override;
    base::result<void> apply_catalogue(catalogue::catalogue_pointer const& published) override;
    void follow_membership() override;
    boost::json::object state() const override;
    base::result<boost::json::object> explain(std::string_view organisation, std::string_view service) const override;

private:
    agent_role(process::runtime& daemon, boost::asio::ip::tcp::endpoint target);

    void put_admission_in_force(catalogue::catalogue const& published, admission::admission_controller fresh);
    membership::standing own_standing() const;

    process::runtime& daemon_;
    // Mutable because a snapshot of admission brings its sums up to date.
    mutable blackboard board_;
    engine_client engine_;
    generation_controller generations_;
    process::operator_handler operators_;
    http::server operator_server_;
};

} // namespace cyclamenledge::agent
