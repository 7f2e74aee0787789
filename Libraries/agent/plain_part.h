#pragma once

#include "agent/blackboard.h"
#include "agent/call_controller.h"
#include "agent/service_client.h"
#include "agent/target_part.h"
#include "process/runtime.h"

namespace cyclamenledge::agent {

/// The agent of a plain service: calls and their keys.
class plain_part : public target_part {
public:
    plain_part(process::runtime& daemon, blackboard& board, boost::asio::ip::tcp::endpoint target);

    base::result<void> apply(catalogue::catalogue_pointer const& published, catalogue::target const& self) override;
    void start() override { calls_.start(service_); }
    void on_return_to_service() override {}
    void on_configuration_confirmed(base::time_point as_of) override { calls_.on_configuration_confirmed(as_of); }
    void dump(boost::json::object& state) const override;

private:
    blackboard& board_;
    service_client client_;
    call_controller calls_;
    catalogue::service service_;
};

} // namespace cyclamenledge::agent
