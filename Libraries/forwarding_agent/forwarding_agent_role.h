#pragma once

#include "forwarding/copy_queue.h"
#include "forwarding/engine_pace.h"
#include "forwarding/engine_report.h"
#include "forwarding/entry_count.h"
#include "forwarding/reservation_controller.h"
#include "forwarding_agent/permit_service.h"
#include "forwarding_agent/run_witness.h"
#include "forwarding_agent/stream_origin_service.h"
#include "http/server.h"
#include "http/upstream_connection.h"
#include "link/hub_observer.h"
#include "poison_control/poison_controller.h"
#include "process/operator_handler.h"
#include "process/role.h"
#include "process/runtime.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding_agent {

/// Runs beside one engine. Reads the engine's report many times a second and sends it to every connected entry, grants
/// reservations of the engine's memory and slots, grants copy slots on the engine's link while the engine leaves,
/// issues permits for targets with a bounded rate, passes crash notices on between entries, and remembers for them
/// which software versions began streams. No request passes through it: without it, entries only lack current reports,
/// reservations and copy slots.
class forwarding_agent_role : public process::role, private link::hub_observer {
public:
    static base::result<std::unique_ptr<forwarding_agent_role>> create(process::runtime& daemon);

    base::result<void> start() override;
    void stop_accepting() override { daemon_.hub().stop_accepting(); }
    bool able_to_serve() const override { return report_.has_value(); }
    base::result<void> apply_catalogue(catalogue::catalogue_pointer const&) override { return base::success(); }
    void on_membership_changed() override {}
    void on_configuration_confirmed(base::time_point) override {}
    boost::json::object state() const override;
    base::result<boost::json::object> explain(std::string_view organisation, std::string_view service) const override;

private:
    forwarding_agent_role(process::runtime& daemon, boost::asio::ip::tcp::endpoint target);

    boost::asio::awaitable<void> read_reports();
    http::awaitable_result<forwarding::engine_report> read_once();
    /// Answers the questions that have come before the report was read. The result is that of a report read after them.
    http::awaitable_result<forwarding::engine_report> answer_questions(base::result<forwarding::engine_report> report);
    void update_report(forwarding::engine_report const& report);
    void answer_reservation(link::connection& entry, wire::schema::PlaceRequestT const& reservation);
    void end_reservation(link::connection& entry, wire::schema::PlaceEndT const& end);
    /// Logs a change of the failing state and returns whether the entries have to be told. The reason is logged if the
    /// state has ended before its time.
    bool failing_changed(std::string_view recovery);
    /// Sends answers to waiting requests, each after a report that includes it.
    void send_answers(forwarding::reservation_controller::answers const& answers);
    void schedule_expiry();
    void send_to_entries();
    /// Returns the newest report together with the reservations granted since.
    forwarding::engine_report current_report() const;
    wire::schema::EngineStateT encode_report(forwarding::engine_report const& report) const;
    void count_entries();
    void grant_copy_slots();
    void on_connected(link::connection& entry) override;
    void on_disconnected(link::connection& entry, base::error const& reason) override;

    process::runtime& daemon_;
    boost::asio::ip::tcp::endpoint target_;
    http::upstream_pointer connection_;
    /// The engine has ended the connection while it served, and has accepted none since.
    bool connection_broken_{false};
    boost::asio::steady_timer report_timer_;
    std::optional<forwarding::engine_report> report_;
    std::optional<forwarding::engine_report> last_sent_;
    base::time_point last_sent_at_{};
    std::uint32_t failures_{0};
    forwarding::reservation_controller reservations_;
    boost::asio::steady_timer expiry_timer_;
    /// The failing state that was last logged.
    bool failing_{false};
    forwarding::copy_queue copy_queue_;
    forwarding::engine_pace pace_;
    std::map<std::uint64_t, link::connection_pointer> entries_;
    forwarding::entry_count entry_count_;
    poison_control::guarded_suspects suspects_;
    poison_control::poison_controller crash_notices_;
    permit_service permits_;
    stream_origin_service stream_origins_;
    run_witness witness_;
    process::operator_handler operators_;
    http::server operator_server_;
};

} // namespace cyclamenledge::forwarding_agent
