#include "subcommand.h"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using cyclamenledge::control::exit_status;
using cyclamenledge::control::subcommand;

int to_int(exit_status status) {
    return static_cast<int>(status);
}

exit_status run(CLI::App& app, int argument_count, char** arguments) {
    auto const commands = cyclamenledge::control::make_subcommands();
    subcommand* chosen = nullptr;
    for (auto const& command : commands) {
        auto* options = app.add_subcommand(command->name(), command->description());
        command->add_options(*options);
        options->callback([&chosen, &command] { chosen = command.get(); });
    }
    try {
        app.parse(argument_count, arguments);
    } catch (CLI::ParseError const& failure) {
        // CLI11 has an exit code for each kind of error; zero stands for a request for help.
        return app.exit(failure) == 0 ? exit_status::ok : exit_status::usage;
    }
    return chosen->run();
}

} // namespace

int main(int argument_count, char** arguments) {
    CLI::App app{"Control program of cyclamenledge"};
    app.require_subcommand(1);
    app.footer("Exit status: 0 success, 1 invalid document, warnings or differences, 2 wrong usage or unreadable file, "
               "3 the process refused the request, 4 no process answered, 5 the answer ended before it was complete.");
    app.fallthrough();
    try {
        return to_int(run(app, argument_count, arguments));
    } catch (std::exception const& failure) {
        std::cerr << "cyclamenctl: " << failure.what() << '\n';
        return to_int(exit_status::usage);
    }
}
