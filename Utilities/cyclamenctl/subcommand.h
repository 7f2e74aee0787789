#pragma once

#include <CLI/App.hpp>

#include <memory>
#include <string>
#include <vector>

namespace cyclamenledge::control {

/// Exit status of cyclamenctl.
enum class exit_status { ok = 0, invalid = 1, usage = 2, refused = 3, unreachable = 4, incomplete = 5 };

/// One subcommand of cyclamenctl.
class subcommand {
public:
    subcommand() = default;
    subcommand(subcommand const&) = delete;
    subcommand& operator=(subcommand const&) = delete;
    virtual ~subcommand() = default;

    virtual std::string name() const = 0;
    virtual std::string description() const = 0;
    /// Declares the options, which are bound to members.
    virtual void add_options(CLI::App& options) = 0;
    /// Runs after the options have been parsed.
    virtual exit_status run() = 0;
};

/// One object for each row of the table of subcommands, in the order of the help page.
std::vector<std::unique_ptr<subcommand>> make_subcommands();

} // namespace cyclamenledge::control
