#pragma once

#include "subcommand.h"

#include <string>
#include <vector>

namespace cyclamenledge::control {

/// Prints the path of one request from the logs of many processes.
class trace_command : public subcommand {
public:
    std::string name() const override { return "trace"; }
    std::string description() const override { return "Print a request's path from the logs of many processes"; }
    void add_options(CLI::App& options) override;
    exit_status run() override;

private:
    std::string request_;
    std::vector<std::string> files_;
};

} // namespace cyclamenledge::control
