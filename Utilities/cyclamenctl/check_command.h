#pragma once

#include "subcommand.h"

#include <string>
#include <vector>

namespace cyclamenledge::control {

/// Validates settings and catalogues with the rules that the daemons apply.
class check_command : public subcommand {
public:
    std::string name() const override { return "check"; }
    std::string description() const override { return "Check settings and catalogues, told apart by their content"; }
    void add_options(CLI::App& options) override;
    exit_status run() override;

private:
    std::vector<std::string> files_;
};

} // namespace cyclamenledge::control
