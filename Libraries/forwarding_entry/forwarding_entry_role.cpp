#include "forwarding_entry/forwarding_entry_role.h"

#include "forwarding_entry/crash_notice_recipients.h"
#include "log/logger.h"
#include "network/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds maintenance_interval{500};

std::map<std::string, std::string> parse_regions(settings::forwarding_settings const& settings) {
    std::map<std::string, std::string> regions;
    for (auto const& text : settings.regions) {
        auto const separator = text.find('=');
        regions.emplace(text.substr(0, separator), text.substr(separator + 1));
    }
    return regions;
}

forwarding::retry_bound make_retry_bound(settings::forwarding_settings const& settings) {
    return {settings.retry_share, settings.retry_reserve, settings.retry_window};
}

http::server_limits make_server_limits(settings::caller_limits const& settings,
                                       forwarding::input_limits const& published) {
    http::server_limits limits;
    limits.connections = settings.connections;
    limits.header_bytes = published.header_bytes;
    limits.body_bytes = published.body_bytes;
    limits.header_timeout = published.header_timeout;
    limits.body_timeout = published.idle_timeout;
    limits.idle_timeout = published.idle_timeout;
    return limits;
}

} // namespace

base::result<std::unique_ptr<forwarding_entry_role>> forwarding_entry_role::create(process::runtime& daemon) {
    auto const& settings = daemon.settings().forwarding;
    BOOST_OUTCOME_TRY(auto store, network::parse_endpoint(settings.store_address.value_or("")));
    return std::unique_ptr<forwarding_entry_role>{
        new forwarding_entry_role{daemon, std::move(store), parse_regions(settings)}};
}

forwarding_entry_role::forwarding_entry_role(process::runtime& daemon, asio::ip::tcp::endpoint store,
                                             std::map<std::string, std::string> regions)
    : daemon_(daemon)
    , board_(forwarding::fleet_view{daemon.settings().failure_domain, std::move(regions), base::random_seed()},
             make_retry_bound(daemon.settings().forwarding))
    , random_(base::random_seed())
    , publications_(board_, daemon.metrics())
    , store_(daemon.context(), std::move(store), board_, publications_)
    , peers_(daemon.context(), daemon.hub(), board_, publications_, store_)
    , agent_directory_(daemon.hub())
    , reservations_(daemon.context(), daemon.hub(), agent_directory_)
    , permits_(daemon.context(), daemon.hub(), board_, agent_directory_, daemon.metrics())
    , notices_(daemon.context(), board_)
    , placements_(daemon.context(), board_, reservations_, permits_, daemon.metrics())
    , connections_(daemon.context().get_executor())
    , copy_slots_(daemon.context(), daemon.hub(), agent_directory_)
    , stream_origins_(daemon.context(), daemon.hub())
    , suspects_(daemon, board_.suspects, &crash_notice_recipients)
    , witnesses_(daemon.context(), daemon.hub(), agent_directory_)
    , crashes_(daemon.context(), board_, suspects_, connections_, witnesses_)
    , agents_(daemon.hub(), board_, agent_directory_,
              static_cast<std::uint16_t>(daemon.settings().forwarding.agent_port))
    , parts_{daemon.context(), board_,      placements_,      permits_, notices_,        connections_,
             answer_memory_,   copy_slots_, reservations_,    streams_, stream_origins_, suspects_,
             witnesses_,       crashes_,    daemon.metrics(), random_}
    , forwarder_(daemon, parts_, [this] { return store_.is_current(base::clock::now()); })
    , operators_(daemon, *this)
    , readiness_(daemon, *this)
    , caller_server_(daemon.context(), make_server_limits(daemon.settings().limits, {}), forwarder_)
    , readiness_server_(daemon.context(), {}, readiness_)
    , operator_server_(daemon.context(), {}, operators_) {
    auto const& forwarding = daemon.settings().forwarding;
    board_.fleet.configure_overload(
        {forwarding.deferrable_objective, forwarding.target_pace == settings::pace_use::follow});
    suspects_.start();
    store_.set_relays(peers_.relays());
    store_.set_observer([this] { peers_.relay_confirmation(); });
    publications_.set_observer([this] { on_targets_change(); });
    permits_.set_observer([this] { placements_.on_capacity_change(); });
    notices_.set_observer([this] {
        placements_.on_capacity_change();
        streams_.on_fleet_change();
    });
    agents_.set_observer([this] {
        placements_.on_capacity_change();
        streams_.on_fleet_change();
    });
}

base::result<void> forwarding_entry_role::start() {
    auto const& settings = daemon_.settings();
    BOOST_OUTCOME_TRYV(caller_server_.listen(settings.caller_address));
    BOOST_OUTCOME_TRYV(daemon_.hub().listen(settings.peer_address));
    BOOST_OUTCOME_TRYV(operator_server_.listen(settings.operator_address));
    if (settings.forwarding.readiness_address) {
        BOOST_OUTCOME_TRYV(readiness_server_.listen(*settings.forwarding.readiness_address));
    }
    store_.start();
    peers_.start(settings.peers, settings.peer_address);
    asio::co_spawn(daemon_.context(), run_maintenance(), asio::detached);
    return base::success();
}

void forwarding_entry_role::stop_accepting() {
    caller_server_.stop_accepting();
    if (auto const aborts_at = daemon_.aborts_at())
        placements_.set_queue_end(*aborts_at - forwarder::stop_answer_reserve);
}

bool forwarding_entry_role::able_to_serve() const {
    return board_.routes != nullptr && board_.targets_listed;
}

void forwarding_entry_role::on_targets_change() {
    agents_.update_connections(base::clock::now());
    update_server_limits();
    placements_.on_capacity_change();
    streams_.on_fleet_change();
    peers_.relay_changes();
}

void forwarding_entry_role::update_server_limits() {
    if (board_.routes)
        caller_server_.set_limits(make_server_limits(daemon_.settings().limits, board_.routes->limits()));
}

asio::awaitable<void> forwarding_entry_role::run_maintenance() {
    asio::steady_timer timer{daemon_.context()};
    while (true) {
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const now = base::clock::now();
        connections_.expire(now);
        board_.fleet.expire(now);
        agents_.update_connections(now);
        permits_.maintain();
        publications_.expire(now);
        placements_.on_capacity_change();
        streams_.on_fleet_change();
    }
}

boost::json::object forwarding_entry_role::state() const {
    auto const now = base::clock::now();
    boost::json::object dump;
    dump["configuration_version"] = board_.routes ? board_.routes->version() : 0;
    dump["revision"] = board_.publications.newest().number;
    dump["store_era"] = board_.publications.newest().era;
    dump["store_in_step"] = store_.is_current(now);
    dump["store_calls"] = store_.calls();
    dump["waiting"] = board_.queue.size();
    dump["streams"] = streams_.size();
    dump["idle_connections"] = connections_.idle_count();
    dump["poison"] = suspects_.state();
    boost::json::array targets;
    for (auto const& [id, target] : board_.fleet.targets()) {
        boost::json::object item{{"id", id},
                                 {"service", target.record.service},
                                 {"address", target.record.address},
                                 {"failure_domain", target.record.failure_domain},
                                 {"leaving", target.leaving(now)},
                                 {"ejected", target.health.ejected(now)},
                                 {"open_requests", target.open_requests}};
        if (auto const& limit = target.limit.per_second())
            item["limit_per_second"] = *limit;
        if (target.hold_off.active(now))
            item["hold_off_seconds"] = base::to_seconds(target.hold_off.end() - now);
        if (target.report) {
            item["used_tokens"] = target.report->used_tokens;
            item["running"] = target.report->running;
            item["report_age_seconds"] = base::to_seconds(now - target.reported_at);
        }
        targets.push_back(std::move(item));
    }
    dump["targets"] = std::move(targets);
    return dump;
}

base::result<boost::json::object> forwarding_entry_role::explain(std::string_view organisation,
                                                                 std::string_view service) const {
    if (!board_.routes || board_.routes->find_service(service) == nullptr)
        return base::make_error(base::error_kind::not_found, "no such service: " + std::string{service});
    auto const now = base::clock::now();
    boost::json::array targets;
    for (auto const& [id, target] : board_.fleet.targets()) {
        if (target.record.service != service)
            continue;
        targets.push_back(boost::json::object{{"id", id},
                                              {"leaving", target.leaving(now)},
                                              {"held_off", target.hold_off.active(now)},
                                              {"evacuated", board_.fleet.evacuated(target.record.failure_domain)},
                                              {"ejected", target.health.ejected(now)},
                                              {"failure_share", target.health.failure_share()},
                                              {"open_requests", target.open_requests}});
    }
    return boost::json::object{{"organisation", organisation}, {"service", service}, {"targets", std::move(targets)}};
}

} // namespace cyclamenledge::forwarding_entry
