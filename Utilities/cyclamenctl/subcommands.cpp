#include "call_command.h"
#include "check_command.h"
#include "diff_command.h"
#include "explain_command.h"
#include "state_command.h"
#include "subcommand.h"
#include "trace_command.h"
#include "version_command.h"

#include <array>

namespace cyclamenledge::control {

namespace {

template <class Command>
std::unique_ptr<subcommand> make() {
    return std::make_unique<Command>();
}

constexpr std::array table{&make<check_command>, &make<diff_command>,  &make<state_command>,  &make<explain_command>,
                           &make<call_command>,  &make<trace_command>, &make<version_command>};

} // namespace

std::vector<std::unique_ptr<subcommand>> make_subcommands() {
    std::vector<std::unique_ptr<subcommand>> commands;
    for (auto const factory : table)
        commands.push_back(factory());
    return commands;
}

} // namespace cyclamenledge::control
