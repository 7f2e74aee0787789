#include "agent/agent_role.h"
#include "entry/entry_role.h"
#include "forwarding_agent/forwarding_agent_role.h"
#include "forwarding_entry/forwarding_entry_role.h"
#include "log/logger.h"
#include "process/configuration_controller.h"
#include "process/membership_controller.h"
#include "process/runtime.h"
#include "settings/settings_reader.h"

#include <CLI/CLI.hpp>

#include <array>
#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace cyclamenledge;

using role_pointer = std::unique_ptr<process::role>;
using role_factory = base::result<role_pointer> (*)(process::runtime&);

template <class Role>
base::result<role_pointer> make_role(process::runtime& daemon) {
    BOOST_OUTCOME_TRY(auto created, Role::create(daemon));
    return role_pointer{std::move(created)};
}

// In the order of settings::process_role.
constexpr std::array<role_factory, 4> role_factories{&make_role<entry::entry_role>, &make_role<agent::agent_role>,
                                                     &make_role<forwarding_entry::forwarding_entry_role>,
                                                     &make_role<forwarding_agent::forwarding_agent_role>};

void run_until_stopped(process::runtime& daemon, process::role& served) {
    log::write(log::event_kind::process_started,
               {{"incarnation", daemon.identity().incarnation}, {"threads", daemon.settings().threads}});
    daemon.run({[&served] { served.stop_accepting(); }, [&served] { served.end_sessions(); },
                [&served] { return served.open_sessions(); }});
}

/// Roles that follow the catalogue; the forwarding roles learn everything from the metadata store.
base::result<void> run_with_catalogue(process::runtime& daemon, process::role& served) {
    BOOST_OUTCOME_TRY(auto const members, process::membership_controller::create(daemon, served));
    BOOST_OUTCOME_TRY(auto const configuration, process::configuration_controller::create(daemon, served, *members));
    BOOST_OUTCOME_TRYV(configuration->start());
    BOOST_OUTCOME_TRYV(served.start());
    members->start();
    run_until_stopped(daemon, served);
    return base::success();
}

base::result<void> run(std::string const& path) {
    BOOST_OUTCOME_TRY(auto configured, settings::read_settings_file(path));
    BOOST_OUTCOME_TRYV(log::start_logging(configured.log_level, configured.name,
                                          configured.format == settings::log_format::json ? log::output_format::json
                                                                                          : log::output_format::text));

    BOOST_OUTCOME_TRY(auto const daemon, process::runtime::create(std::move(configured)));
    auto const make = role_factories.at(static_cast<std::size_t>(daemon->settings().role));
    BOOST_OUTCOME_TRY(auto const served, make(*daemon));
    if (!settings::is_forwarding(daemon->settings().role))
        return run_with_catalogue(*daemon, *served);
    BOOST_OUTCOME_TRYV(served->start());
    run_until_stopped(*daemon, *served);
    return base::success();
}

} // namespace

int main(int argument_count, char** arguments) {
    CLI::App app{"Daemon of cyclamenledge: entry or agent, as the settings say"};
    std::string path;
    app.add_option("--config", path, "Settings of this process, YAML")->required();
    app.footer("Exit status: 0 after a planned stop, 1 when the process cannot start or the settings are invalid.");
    CLI11_PARSE(app, argument_count, arguments);
    try {
        if (auto const result = run(path); !result) {
            log::write(log::event_kind::process_failed, {{"reason", result.error().message}});
            std::cerr << "cyclamenledged: " << result.error().message << '\n';
            return 1;
        }
    } catch (std::exception const& failure) {
        std::cerr << "cyclamenledged: " << failure.what() << '\n';
        return 1;
    }
    return 0;
}
