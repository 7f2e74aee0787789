#pragma once

#include "configuration/peer_selection.h"
#include "configuration/revision_store.h"
#include "configuration/spread.h"
#include "configuration/watch_schedule.h"
#include "link/hub_observer.h"
#include "process/configuration_client.h"
#include "process/configuration_status.h"
#include "process/membership_controller.h"

#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamenledge::process {

/// Keeps this process at the newest configuration: fetches it from peers and from the configuration service, puts it in
/// force and offers it to peers.
///
/// Messages and reads are handled on a strand of the event loop. Documents are validated and applied, one at a time, on
/// a thread of their own, because reading a catalogue of the target size takes longer than tokens may wait.
class configuration_controller : public link::hub_observer {
public:
    static base::result<std::unique_ptr<configuration_controller>> create(runtime& daemon, role& served,
                                                                          membership_controller& members);
    ~configuration_controller() override;

    /// Registers for frames, applies the catalogue file of the settings and starts to look for newer configuration.
    /// Fails when the file is invalid. Called before the event loop runs.
    base::result<void> start();

    void on_up(link::connection& source) override;
    void on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) override;
    void on_down(link::connection& source, base::error const& reason) override;
    void fill_heartbeat(wire::schema::HeartbeatT& content) override;

private:
    configuration_controller(runtime& daemon, role& served, membership_controller& members);

    // On the strand.
    void receive(std::string const& peer, configuration::spread_content const& content);
    void settle();
    void send(configuration::spread_message const& message);
    boost::asio::awaitable<void> run_schedule();
    boost::asio::awaitable<void> read_index(configuration::read_kind kind);
    boost::asio::awaitable<void> read_part(std::uint64_t digest);
    void note_index(std::string const& source, configuration::publication_index const& index);
    void note_service(bool reachable, std::string const& failure);
    /// The revision in force was the newest one at this time.
    void confirm(base::time_point as_of);
    void follow_peers();
    void follow_contacts();
    std::vector<configuration::peer> live_entries(configuration::peer& self) const;

    // On the worker.
    configuration::offer_outcome apply(configuration::publication const& offered, std::string const& source);
    void put_in_force(configuration::publication const& offered, std::string const& source);
    void report_rejection(configuration::publication_index const& index);
    base::result<void> apply_file(std::string const& path);

    boost::json::object state() const;

    runtime& daemon_;
    role& role_;
    membership_controller& members_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    std::optional<configuration_client> service_;
    configuration::spread spread_;
    configuration::watch_schedule schedule_;
    /// The newest revision that the service has shown, so that a rejected one doesn't end every watch at once.
    std::uint64_t service_revision_{0};
    /// Who offered a publication first, by digest.
    std::map<std::uint64_t, std::string> offered_by_;
    std::map<std::string, std::string> peers_;
    std::set<std::string> contacts_;

    configuration::revision_store store_;
    std::atomic<std::uint64_t> revision_{0};
    std::atomic<base::time_point> confirmed_at_{base::time_point{}};
    base::guarded<configuration_status, base::lock_rank::configuration> status_;
    // Last, so that its thread has ended before anything that it uses.
    boost::asio::thread_pool worker_{1};
};

} // namespace cyclamenledge::process
