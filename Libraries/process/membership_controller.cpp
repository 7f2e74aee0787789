#include "process/membership_controller.h"

#include "base/random.h"
#include "log/logger.h"
#include "network/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cyclamenledge::process {

namespace asio = boost::asio;

namespace {

constexpr base::seconds vm_list_interval{2};
/// The role is notified at this interval, because eligibility also changes with time, for example when a VM has been
/// absent for longer than the lag.
constexpr base::milliseconds follow_interval{250};

/// A disconnected entry isn't selected as a peer for this time. The limit is needed because the entry may only have
/// closed a link that it no longer needed.
constexpr base::seconds disconnected_entry_timeout{30};

base::wall_time wall_now() {
    return std::chrono::floor<base::milliseconds>(std::chrono::system_clock::now());
}

} // namespace

base::result<std::unique_ptr<membership_controller>> membership_controller::create(runtime& daemon, role& served) {
    std::unique_ptr<membership_controller> created{new membership_controller{daemon, served}};
    if (auto const& address = daemon.settings().vm_list_address) {
        BOOST_OUTCOME_TRY(auto const endpoint, network::parse_endpoint(*address));
        created->vms_.emplace(endpoint);
    }
    daemon.hub().add_observer(*created);
    daemon.add_state("membership", [controller = created.get()] { return controller->state(); });
    return created;
}

membership_controller::membership_controller(runtime& daemon, role& served)
    : daemon_(daemon)
    , role_(served)
    , strand_(asio::make_strand(daemon.context())) {}

void membership_controller::start() {
    if (vms_)
        asio::co_spawn(strand_, poll_vm_list(), asio::detached);
    asio::co_spawn(strand_, watch_members(), asio::detached);
}

void membership_controller::on_catalogue(catalogue::catalogue_pointer const& published) {
    auto const* domain = published->find_failure_domain(daemon_.settings().failure_domain);
    daemon_.board().members.with([&](auto& members) {
        if (!members && domain != nullptr)
            members.emplace(domain->region);
        if (members)
            members->on_catalogue(published, base::clock::now(), wall_now());
    });
    // Links that were established before the first catalogue could not be assigned to a member yet.
    for (auto const& item : daemon_.hub().ready_connections())
        set_link(item->peer().process, membership::link_condition::healthy);
}

void membership_controller::set_link(std::string_view member, membership::link_condition condition) {
    daemon_.board().members.with([&](auto& members) {
        if (members)
            members->on_link(member, condition, base::clock::now());
    });
}

void membership_controller::on_connected(link::connection& source) {
    set_link(source.peer().process, membership::link_condition::healthy);
}

void membership_controller::on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) {
    if (!heartbeat.load)
        return;
    daemon_.board().members.with([&](auto& members) {
        if (members)
            members->on_announced_leaving(source.peer().process, !heartbeat.load->accepting);
    });
}

void membership_controller::on_disconnected(link::connection& source, base::error const&) {
    auto const& peer = source.peer();
    if (daemon_.hub().find_connection(peer.process))
        return;
    bool const agent = peer.role == static_cast<std::uint8_t>(settings::process_role::agent);
    // If the hub no longer keeps a link to an agent, it was closed on purpose and does not show a fault of the region.
    auto const condition = agent && !daemon_.hub().maintains(peer.process) ? membership::link_condition::none
                                                                           : membership::link_condition::suspect;
    set_link(peer.process, condition);
    if (!agent)
        asio::post(strand_, [this, name = peer.process] { disconnected_entries_[name] = base::clock::now(); });
}

void membership_controller::expire_disconnected_entries() {
    auto const now = base::clock::now();
    std::erase_if(disconnected_entries_, [&](auto const& disconnected) {
        if (daemon_.hub().find_connection(disconnected.first))
            return true;
        if (now - disconnected.second < disconnected_entry_timeout)
            return false;
        set_link(disconnected.first, membership::link_condition::none);
        return true;
    });
}

void membership_controller::apply_vm_list(std::vector<membership::vm_record> const& list) {
    daemon_.board().members.with([&](auto& members) {
        if (members)
            members->on_vm_list(list, base::clock::now(), wall_now());
    });
}

asio::awaitable<void> membership_controller::poll_vm_list() {
    asio::steady_timer timer{strand_};
    base::random_source random{base::random_seed()};
    std::optional<std::vector<membership::vm_record>> last;
    while (true) {
        // The interval is between 1.5 s and 2.5 s, so that processes that were restarted together don't poll together.
        timer.expires_after(base::from_seconds(base::to_seconds(vm_list_interval) * (0.75 + 0.5 * random.unit())));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto answer = co_await vms_->read();
        bool const reachable = answer.has_value();
        list_reachable_ = reachable;
        if (reachable && answer.value())
            last = std::move(answer).value();
        // An unchanged list is applied again, because it confirms absences and the member table may be new.
        if (reachable && last)
            apply_vm_list(*last);
    }
}

asio::awaitable<void> membership_controller::watch_members() {
    asio::steady_timer timer{strand_};
    while (true) {
        log_partitions();
        expire_disconnected_entries();
        role_.on_membership_changed();
        timer.expires_after(follow_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void membership_controller::log_partitions() {
    std::set<std::string, std::less<>> current;
    daemon_.board().members.with([&](auto& members) {
        if (!members || !members->published())
            return;
        for (auto const& domain : members->published()->failure_domains()) {
            if (members->region_partitioned(domain.region))
                current.insert(domain.region);
        }
    });
    for (auto const& region : current) {
        if (!partitioned_.contains(region))
            log::write(log::event_kind::partition_suspected, {{"region", region}});
    }
    partitioned_ = std::move(current);
}

boost::json::object membership_controller::state() const {
    boost::json::object dump;
    dump["vm_list_reachable"] = list_reachable_.load();
    daemon_.board().members.with([&](auto& members) {
        if (members) {
            dump["implausible_vm_lists"] = members->implausible_vm_lists();
            dump["live_entries"] = members->live_entries(base::clock::now()).size();
        }
    });
    return dump;
}

} // namespace cyclamenledge::process
