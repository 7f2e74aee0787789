#pragma once

#include "link/hub_observer.h"
#include "process/blackboard.h"
#include "process/role.h"
#include "process/runtime.h"
#include "process/vm_list_client.h"

#include <boost/asio/strand.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cyclamenledge::process {

/// Keeps the member table up to date from the catalogue, the VM list and the links of this process.
class membership_controller : public link::hub_observer {
public:
    /// Creates the controller and registers it for events of the hub.
    static base::result<std::unique_ptr<membership_controller>> create(runtime& daemon, role& served);

    /// Starts to poll the VM list and to notify the role of membership changes.
    void start();
    /// Applies a catalogue to the member table. Called on the thread that applies catalogues, before the role applies
    /// the same catalogue.
    void on_catalogue(catalogue::catalogue_pointer const& published);

    void on_connected(link::connection& source) override;
    void on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) override;
    void on_disconnected(link::connection& source, base::error const& reason) override;

private:
    membership_controller(runtime& daemon, role& served);

    boost::asio::awaitable<void> poll_vm_list();
    boost::asio::awaitable<void> watch_members();
    void apply_vm_list(std::vector<membership::vm_record> const& list);
    void log_partitions();
    void expire_disconnected_entries();
    void set_link(std::string_view member, membership::link_condition condition);
    boost::json::object state() const;

    runtime& daemon_;
    role& role_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    std::optional<vm_list_client> vms_;
    std::atomic<bool> list_reachable_{false};
    std::set<std::string, std::less<>> partitioned_;
    /// Entries without a connection, with the time at which their last link was lost.
    std::map<std::string, base::time_point> disconnected_entries_;
};

} // namespace cyclamenledge::process
