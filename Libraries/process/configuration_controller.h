#pragma once

#include "configuration/peer_selection.h"
#include "configuration/publication_gossip.h"
#include "configuration/revision_store.h"
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

/// Keeps this process at the newest configuration: fetches it from peers and from the configuration service, activates
/// it and offers it to peers.
///
/// Messages and reads are handled on a strand of the event loop. Documents are validated and applied one at a time on a
/// separate thread, because reading a catalogue at target size takes longer than tokens may be delayed.
class configuration_controller : public link::hub_observer {
public:
    static base::result<std::unique_ptr<configuration_controller>> create(runtime& daemon, role& served,
                                                                          membership_controller& members);
    ~configuration_controller() override;

    /// Registers for frames, applies the catalogue file of the settings and starts to read newer configuration. Fails
    /// if the file is invalid. Must be called before the event loop runs.
    base::result<void> start();

    void on_connected(link::connection& source) override;
    void on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) override;
    void on_disconnected(link::connection& source, base::error const& reason) override;
    void fill_heartbeat(wire::schema::HeartbeatT& content) override;

private:
    configuration_controller(runtime& daemon, role& served, membership_controller& members);

    // Called on the strand.
    void receive(std::string const& peer, configuration::gossip_content const& content);
    void process_gossip_output();
    void send(configuration::gossip_message const& message);
    boost::asio::awaitable<void> run_schedule();
    boost::asio::awaitable<void> read_index(configuration::read_kind kind);
    boost::asio::awaitable<void> read_part(std::uint64_t digest);
    void record_offered_index(std::string const& source, configuration::publication_index const& index);
    void update_service_status(bool reachable, std::string const& failure);
    /// Records that the active revision was the newest one at this time.
    void record_confirmation(base::time_point as_of);
    void update_peers();
    void update_first_contacts();
    std::vector<configuration::peer> live_entries(configuration::peer& self) const;

    // Called on the worker thread.
    configuration::offer_outcome apply(configuration::publication const& offered, std::string const& source);
    void activate(configuration::publication const& offered, std::string const& source);
    void report_rejection(configuration::publication_index const& index);
    base::result<void> apply_file(std::string const& path);

    boost::json::object state() const;

    runtime& daemon_;
    role& role_;
    membership_controller& members_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    std::optional<configuration_client> service_;
    configuration::publication_gossip gossip_;
    configuration::watch_schedule schedule_;
    /// The newest revision that the service has returned. Long polls wait for a newer one, as they would otherwise end
    /// at once while the service has a revision that this process has rejected.
    std::uint64_t service_revision_{0};
    /// The source that offered each publication first, by digest.
    std::map<std::uint64_t, std::string> publication_sources_;
    std::map<std::string, std::string> peers_;
    std::set<std::string> first_contacts_;

    configuration::revision_store store_;
    std::atomic<std::uint64_t> revision_{0};
    std::atomic<base::time_point> confirmed_at_{base::time_point{}};
    base::guarded<configuration_status, base::lock_rank::configuration> status_;
    // Declared last, so that its thread ends before the members that it uses are destroyed.
    boost::asio::thread_pool worker_{1};
};

} // namespace cyclamenledge::process
