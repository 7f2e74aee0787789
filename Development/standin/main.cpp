#include "standin.h"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace {

int serve(cyclamenledge::standin::standin& chosen) {
    boost::asio::io_context context{1};
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&](boost::system::error_code const&, int) { context.stop(); });
    if (auto const started = chosen.start(context); !started) {
        std::cerr << "cyclamen-standin: " << started.error().message << '\n';
        return 1;
    }
    context.run();
    return 0;
}

} // namespace

int main(int argument_count, char** arguments) {
    CLI::App app{"Stand-ins for the systems around cyclamenledge, for development only"};
    app.require_subcommand(1);
    auto const standins = cyclamenledge::standin::make_standins();
    cyclamenledge::standin::standin* chosen = nullptr;
    for (auto const& item : standins) {
        auto* options = app.add_subcommand(item->name(), item->description());
        item->add_options(*options);
        options->callback([&chosen, &item] { chosen = item.get(); });
    }
    CLI11_PARSE(app, argument_count, arguments);
    return serve(*chosen);
}
