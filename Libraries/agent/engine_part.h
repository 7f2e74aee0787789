#pragma once

#include "agent/blackboard.h"
#include "agent/engine_client.h"
#include "agent/generation_controller.h"
#include "agent/target_part.h"
#include "process/runtime.h"

namespace cyclamenledge::agent {

/// The agent of an engine: admission and generations.
class engine_part : public target_part {
public:
    engine_part(process::runtime& daemon, blackboard& board, boost::asio::ip::tcp::endpoint target);

    base::result<void> apply(catalogue::catalogue_pointer const& published, catalogue::target const& self) override;
    void start() override { generations_.start(); }
    void on_return_to_service() override;
    void on_configuration_confirmed(base::time_point) override {}
    void dump(boost::json::object& state) const override;

private:
    blackboard& board_;
    engine_client engine_;
    generation_controller generations_;
};

} // namespace cyclamenledge::agent
