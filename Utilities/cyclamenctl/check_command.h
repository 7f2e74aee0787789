#pragma once

#include "output_format.h"
#include "subcommand.h"

#include <string>
#include <vector>

namespace cyclamenledge::control {

/// Validates settings and catalogues with the rules that the daemons apply, and reviews valid catalogues.
class check_command : public subcommand {
public:
    std::string name() const override { return "check"; }
    std::string description() const override { return "Check settings and catalogues, told apart by their content"; }
    void add_options(CLI::App& options) override;
    exit_status run() override;

private:
    std::vector<std::string> files_;
    output_format format_{output_format::text};
};

} // namespace cyclamenledge::control
