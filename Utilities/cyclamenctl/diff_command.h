#pragma once

#include "output_format.h"
#include "subcommand.h"

#include <string>

namespace cyclamenledge::control {

/// Shows what a new catalogue changes, and for whom, before it is published.
class diff_command : public subcommand {
public:
    std::string name() const override { return "diff"; }
    std::string description() const override { return "Show what a new catalogue changes, and who is affected"; }
    void add_options(CLI::App& options) override;
    exit_status run() override;

private:
    std::string file_;
    std::string against_;
    output_format format_{output_format::text};
};

} // namespace cyclamenledge::control
