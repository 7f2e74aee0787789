#pragma once

#include "subcommand.h"

#include <string>

namespace cyclamenledge::control {

/// Shows the state of a process.
class state_command : public subcommand {
public:
    std::string name() const override { return "state"; }
    std::string description() const override { return "Show the state of a process"; }
    void add_options(CLI::App& options) override;
    exit_status run() override;

private:
    std::string address_;
    bool json_{false};
};

} // namespace cyclamenledge::control
