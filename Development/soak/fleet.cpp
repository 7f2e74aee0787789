#include "soak/fleet.h"

#include "support/platform/odd_names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace cyclamenledge::soak {

namespace {

constexpr std::uint16_t caller_port = 18740;
constexpr std::uint16_t peer_port = 18748;
constexpr std::uint16_t readiness_port = 18749;
constexpr std::uint16_t operator_port = 18750;
constexpr std::uint16_t store_port = 18742;
constexpr std::uint16_t target_port = 18780;
constexpr std::uint16_t agent_port = 18700;
// Time from a crash by a request until its target is started again.
constexpr base::milliseconds restart_delay{1000};
// The server behind a proxy listens one port further.
constexpr std::uint16_t behind_proxy = 1;

std::string domain_name(std::size_t number) {
    return "domain-" + std::to_string(number % fleet::domain_count);
}

std::string at(std::string const& host, std::uint16_t port) {
    return host + ":" + std::to_string(port);
}

std::int64_t unix_now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

fleet::fleet(boost::asio::io_context& context, fleet_size const& size, run_ledger& ledger, base::random_source& random)
    : context_(context)
    , size_(size)
    , ledger_(ledger)
    , random_(random)
    , store_(context) {
    // Runs at the same time use different networks of the loopback device.
    auto const process = static_cast<unsigned>(::getpid());
    host_ = "127." + std::to_string(100 + process / 200 % 100) + "." + std::to_string(process % 200 + 1) + ".";
    store_address_ = at(host_ + "1", store_port);
}

fleet::~fleet() {
    for (auto const& entry : entries_)
        entry->process.process.reset();
    for (auto const& site : targets_)
        site->agent.process.reset();
}

base::result<void> fleet::start() {
    BOOST_OUTCOME_TRYV(store_.listen(store_address_));
    for (std::size_t number = 0; number < size_.engines + size_.services; ++number) {
        BOOST_OUTCOME_TRYV(add_target(number, number < size_.engines));
    }
    publish_configuration();
    if (size_.odd_publications)
        write_odd_publications();
    std::vector<std::string> seeds;
    for (std::size_t number = 0; number < std::min(size_.seeds, size_.entries); ++number)
        seeds.push_back(at(host_ + std::to_string(10 + number), peer_port));
    for (std::size_t number = 0; number < size_.entries; ++number) {
        BOOST_OUTCOME_TRYV(add_entry(number, seeds));
    }
    return base::success();
}

base::result<void> fleet::add_entry(std::size_t number, std::vector<std::string> const& seeds) {
    auto site = std::make_unique<entry_site>();
    site->number = number;
    auto const ip = host_ + std::to_string(10 + number);
    auto const store = at(ip, store_port);
    site->caller_address = at(ip, caller_port);
    std::ostringstream settings;
    settings << "role: forwarding_entry\nname: entry-" << number << "\nfailure_domain: " << domain_name(number)
             << "\nvm: entry-" << number << "\ncaller_address: \"" << at(ip, caller_port + behind_proxy)
             << "\"\npeer_address: \"" << at(ip, peer_port) << "\"\noperator_address: \"" << at(ip, operator_port)
             << "\"\npeers: [";
    for (auto const& seed : seeds)
        settings << '"' << seed << "\", ";
    settings
        << "]\nshared_keys: [key-of-the-fault-soak]\ndrain_accept: 2500 ms\ndrain_limit: 8 s\ndrain_margin: 400 ms\n"
        << "log_format: json\nforwarding:\n  readiness_address: \"" << at(ip, readiness_port)
        << "\"\n  store_address: \"" << store << "\"\n  agent_port: " << agent_port
        << "\n  regions: [domain-0=one, domain-1=one, domain-2=two]\n"
        << "  retry_share: 0.2\n  retry_reserve: 54\n  retry_window: 10 s\n";
    site->process.name = "entry-" + std::to_string(number);
    site->process.settings = folder_.write(site->process.name + ".yaml", settings.str());
    site->caller_proxy = std::make_unique<fault_proxy>(context_, at(ip, caller_port + behind_proxy));
    site->store_proxy = std::make_unique<fault_proxy>(context_, store_address_);
    BOOST_OUTCOME_TRYV(site->caller_proxy->listen(site->caller_address));
    BOOST_OUTCOME_TRYV(site->store_proxy->listen(store));
    start_daemon(site->process);
    entries_.push_back(std::move(site));
    return base::success();
}

base::result<void> fleet::add_target(std::size_t number, bool engine) {
    auto site = std::make_unique<target_site>();
    auto const ip = host_ + std::to_string(100 + number);
    platform::standin::target_standin::place where{engine ? engine_service : plain_service, domain_name(number),
                                                   at(ip, target_port), at(ip, target_port + behind_proxy), engine};
    if (!engine)
        where.slots = size_.service_slots;
    where.version = any_version();
    site->proxy = std::make_unique<fault_proxy>(context_, where.listen_address);
    BOOST_OUTCOME_TRYV(site->proxy->listen(where.address));
    site->target = std::make_unique<platform::standin::target_standin>(context_, std::move(where), directory_, ledger_,
                                                                       random_.next());
    site->target->set_crash_handler(
        [this, crashed = site.get()](std::string const& request) { on_crash(*crashed, !request.empty()); });
    BOOST_OUTCOME_TRYV(site->target->start(unix_now()));
    announce(*site);
    if (engine && size_.agents) {
        std::ostringstream settings;
        settings << "role: forwarding_agent\nname: agent-" << number << "\nfailure_domain: " << domain_name(number)
                 << "\nvm: agent-" << number << "\npeer_address: \"" << at(ip, agent_port + behind_proxy)
                 << "\"\noperator_address: \"" << at(ip, operator_port) << "\"\ntarget_address: \""
                 << at(ip, target_port)
                 << "\"\nshared_keys: [key-of-the-fault-soak]\ndrain_accept: 0 s\ndrain_limit: 8 s\n"
                 << "log_format: json\nforwarding:\n  regions: [domain-0=one, domain-1=one, domain-2=two]\n";
        site->agent.name = "agent-" + std::to_string(number);
        site->agent.settings = folder_.write(site->agent.name + ".yaml", settings.str());
        site->agent_proxy = std::make_unique<fault_proxy>(context_, at(ip, agent_port + behind_proxy));
        BOOST_OUTCOME_TRYV(site->agent_proxy->listen(at(ip, agent_port)));
        start_daemon(site->agent);
    }
    targets_.push_back(std::move(site));
    return base::success();
}

std::string fleet::any_version() {
    return "v" + std::to_string(1 + random_.below(size_.versions));
}

void fleet::start_daemon(daemon& wanted) {
    wanted.process.reset();
    ++wanted.life;
    ledger_.notices().forget_entry(wanted.name);
    wanted.ended_on_purpose = false;
    wanted.paused = false;
    wanted.stopping = false;
    // Each life keeps its own output.
    wanted.process =
        std::make_unique<tests::process::program>(folder_, wanted.name + "-" + std::to_string(wanted.life),
                                                  size_.daemon, std::vector<std::string>{"--config", wanted.settings});
}

void fleet::check_daemons() {
    auto const check = [&](daemon& checked) {
        if (!checked.process || checked.ended_on_purpose || checked.process->running())
            return;
        auto const status = checked.process->wait_for_exit(base::milliseconds{0}).value_or(-1);
        ledger_.violation(checked.name + " ended by itself in life " + std::to_string(checked.life) + " with status " +
                          std::to_string(status));
        start_daemon(checked);
    };
    for (auto const& entry : entries_)
        check(entry->process);
    for (auto const& site : targets_) {
        if (site->agent.process)
            check(site->agent);
    }
}

void fleet::announce(target_site& site) {
    store_.put_target(site.target->id(), site.target->announcement());
}

void fleet::withdraw(target_site& site) {
    store_.remove_target(site.target->id());
}

void fleet::write_odd_publications() {
    // Each odd key ends a page now and then, while the targets beside it come and go.
    constexpr std::size_t page_size = 3;
    store_.set_page_size(page_size);
    for (auto const& odd : platform::standin::odd_names()) {
        // Under a name that no target can have, not even the whole document of a target makes one.
        store_.put_target(odd.text, odd.may_name_a_target ? "{}" : targets_.front()->target->announcement());
        store_.put_evacuation(odd.text);
        odd_names_.insert(odd.text);
    }
}

void fleet::on_crash(target_site& site, bool by_request) {
    site.proxy->stop_listening();
    site.proxy->end_connections();
    if (by_request)
        boost::asio::co_spawn(context_, restart_later(site), boost::asio::detached);
}

boost::asio::awaitable<void> fleet::restart_later(target_site& site) {
    boost::asio::steady_timer timer{context_, restart_delay};
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (site.target->up())
        co_return;
    withdraw(site);
    restart(site);
}

void fleet::restart(target_site& site) {
    if (site.target->up() || !site.proxy->resume_listening())
        return;
    // The process tests choose the versions themselves.
    if (size_.versions > 1)
        site.target->set_version(any_version());
    // The new incarnation has no limit.
    name_limit(site, {});
    if (site.target->start(unix_now()))
        announce(site);
}

void fleet::name_limit(target_site& site, std::optional<platform::standin::named_limit> const& limit) {
    site.target->name_limit(limit);
    ledger_.name_limit(site.target->id(), limit ? std::optional{limit->per_second} : std::nullopt);
}

std::span<platform::standin::published_route const> fixed_routes() {
    static std::array<platform::standin::published_route, 4> const routes{{
        {"/gen/", engine_service, "streaming", false, 1, 20000, 1800},
        {"/resume/", engine_service, "streaming", true, 2, 20000, 1500},
        {"/order/", plain_service, "non_idempotent", false, 1, 3000, 250},
        {"/read/", plain_service, "idempotent", false, 2, 3000, 250},
    }};
    return routes;
}

void fleet::publish_configuration() {
    ++version_;
    std::vector<platform::standin::published_route> routes{fixed_routes().begin(), fixed_routes().end()};
    // A route of each version shows which configuration an entry has in force.
    for (std::uint64_t version = 1; version <= version_; ++version)
        routes.push_back({"/v" + std::to_string(version) + "/", plain_service, "idempotent", false, 2, 3000, 250});
    configuration_ = platform::standin::encode_configuration(version_, caller_host, caller_key, routes,
                                                             {engine_service, plain_service});
    store_.put_configuration(configuration_);
}

void fleet::evacuate(std::size_t domain, bool evacuated) {
    auto const name = domain_name(domain);
    if (evacuated) {
        evacuated_.insert(name);
        store_.put_evacuation(name);
    } else {
        evacuated_.erase(name);
        store_.remove_evacuation(name);
    }
    for (auto const& site : targets_) {
        if (site->target->where().failure_domain != name || site->target->leaving())
            continue;
        // Evacuations may take twice as long as a drain.
        if (evacuated)
            ledger_.close_target(site->target->id(), base::clock::now() + base::milliseconds{2500});
        else
            ledger_.open_target(site->target->id());
    }
}

void fleet::write_again() {
    store_.put_configuration(configuration_);
    for (std::size_t domain = 0; domain < domain_count; ++domain) {
        if (evacuated_.contains(domain_name(domain)))
            store_.put_evacuation(domain_name(domain));
        else
            store_.remove_evacuation(domain_name(domain));
    }
    std::set<std::string> running;
    for (auto const& site : targets_) {
        if (!site->target->up())
            continue;
        running.insert(site->target->id());
        announce(*site);
    }
    // The leases of targets that are gone run out.
    for (auto const& id : store_.target_ids()) {
        if (!running.contains(id) && !odd_names_.contains(id))
            store_.remove_target(id);
    }
}

void fleet::repair() {
    store_.set_mode(platform::standin::store_mode::serving);
    for (std::size_t domain = 0; domain < domain_count; ++domain)
        evacuate(domain, false);
    auto const repair_daemon = [&](daemon& repaired) {
        if (repaired.paused)
            repaired.process->send_signal(SIGCONT);
        repaired.paused = false;
        if (!repaired.process->running())
            start_daemon(repaired);
    };
    for (auto const& entry : entries_) {
        entry->caller_proxy->set_mode(proxy_mode::pass);
        entry->store_proxy->set_mode(proxy_mode::pass);
        repair_daemon(entry->process);
    }
    for (auto const& site : targets_) {
        site->proxy->set_mode(proxy_mode::pass);
        site->target->set_faults(site->usual);
        name_limit(*site, {});
        if (site->agent.process) {
            site->agent_proxy->set_mode(proxy_mode::pass);
            repair_daemon(site->agent);
        }
        restart(*site);
    }
}

std::string fleet::describe() const {
    std::ostringstream text;
    for (auto const& entry : entries_)
        text << entry->process.process->describe() << '\n';
    return text.str();
}

} // namespace cyclamenledge::soak
