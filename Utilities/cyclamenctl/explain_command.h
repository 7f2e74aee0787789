#pragma once

#include "subcommand.h"

#include <string>

namespace cyclamenledge::control {

/// Explains what an entry would do with a request.
class explain_command : public subcommand {
public:
    std::string name() const override { return "explain"; }
    std::string description() const override {
        return "Explain how an entry would route a request, without sending it";
    }
    void add_options(CLI::App& options) override;
    exit_status run() override;

private:
    std::string address_;
    std::string organisation_;
    std::string service_;
    bool json_{false};
};

} // namespace cyclamenledge::control
