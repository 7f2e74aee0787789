#pragma once

#include "agent/blackboard.h"
#include "agent/target_part.h"
#include "http/server.h"
#include "process/operator_handler.h"
#include "process/role.h"
#include "process/runtime.h"

#include <memory>

namespace cyclamenledge::agent {

/// The daemon beside a target.
class agent_role : public process::role {
public:
    static base::result<std::unique_ptr<agent_role>> create(process::runtime& daemon,
                                                            catalogue::catalogue_pointer published);

    base::result<void> start() override;
    void stop_accepting() override;
    bool able_to_serve() const override;
    boost::json::object state() const override;
    base::result<boost::json::object> explain(std::string_view organisation, std::string_view service) const override;

private:
    explicit agent_role(process::runtime& daemon);

    base::result<void> apply(catalogue::catalogue_pointer const& published);

    process::runtime& daemon_;
    // Mutable because a snapshot of admission brings its sums up to date.
    mutable blackboard board_;
    std::unique_ptr<target_part> part_;
    process::operator_handler operators_;
    http::server operator_server_;
};

} // namespace cyclamenledge::agent
