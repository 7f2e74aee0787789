#pragma once

#include "subcommand.h"

namespace cyclamenledge::control {

/// Prints the version of the program.
class version_command : public subcommand {
public:
    std::string name() const override { return "version"; }
    std::string description() const override { return "Print the version"; }
    void add_options(CLI::App&) override {}
    exit_status run() override;
};

} // namespace cyclamenledge::control
