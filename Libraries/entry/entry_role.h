#pragma once

#include "entry/agent_links.h"
#include "entry/blackboard.h"
#include "entry/caller_handler.h"
#include "entry/limit_controller.h"
#include "http/server.h"
#include "poison_control/poison_controller.h"
#include "process/operator_handler.h"
#include "process/role.h"
#include "process/runtime.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace cyclamenledge::entry {

/// The daemon that callers reach.
class entry_role : public process::role {
public:
    static base::result<std::unique_ptr<entry_role>> create(process::runtime& daemon);

    base::result<void> start() override;
    void stop_accepting() override;
    void end_sessions() override { caller_server_.end_sessions(); }
    std::uint32_t open_sessions() const override { return caller_server_.open_sessions(); }
    bool able_to_serve() const override;
    base::result<void> apply_catalogue(catalogue::catalogue_pointer const& published) override;
    void on_membership_changed() override;
    void on_configuration_confirmed(base::time_point) override {}
    boost::json::object state() const override;
    base::result<boost::json::object> explain(std::string_view organisation, std::string_view service) const override;

private:
    explicit entry_role(process::runtime& daemon);

    base::result<void> rebuild_targets(catalogue::catalogue_pointer const& published);
    std::map<std::string, membership::target_eligibility> eligibilities() const;
    void log_eligibility(std::string const& target, membership::target_eligibility before,
                         membership::target_eligibility now) const;
    void log_ejections();

    process::runtime& daemon_;
    mutable blackboard board_;
    agent_links links_;
    limit_controller limits_;
    poison_control::poison_controller poison_;
    caller_handler callers_;
    http::server caller_server_;
    // Only used by on_membership_changed.
    std::map<std::string, membership::target_eligibility> last_eligibilities_;
    std::set<std::string, std::less<>> ejected_;
    process::operator_handler operators_;
    http::server operator_server_;
};

} // namespace cyclamenledge::entry
