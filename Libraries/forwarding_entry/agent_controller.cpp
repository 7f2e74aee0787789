#include "forwarding_entry/agent_controller.h"

#include "log/logger.h"

#include <set>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace {

// Time for which the connection to an agent is kept without a target beside it. A machine whose engine was replaced
// gets another one within seconds.
constexpr base::seconds agent_retention{30};

forwarding::engine_report decode(wire::schema::EngineStateT const& message) {
    forwarding::engine_report report;
    report.started_at = message.started_at;
    report.leaving = message.leaving;
    if (message.leaves_in_ms > 0)
        report.leaves_in = base::milliseconds{message.leaves_in_ms - 1};
    report.running = message.running;
    report.queued = message.queued;
    report.reading = message.reading;
    report.used_tokens = message.used_tokens;
    report.total_tokens = message.total_tokens;
    report.entries = message.entries;
    report.unread_tokens = message.unread_tokens;
    report.reading_pace = message.reading_pace;
    report.committed_tokens = message.committed_tokens;
    report.failing = message.failing;
    report.waiting = message.waiting;
    report.waiting_tokens = message.waiting_tokens;
    if (message.room_in_ms > 0)
        report.room_in = base::milliseconds{message.room_in_ms - 1};
    report.pace = message.pace;
    report.pace_now = message.pace_now;
    return report;
}

} // namespace

agent_controller::agent_controller(link::hub& hub, blackboard& board, agent_directory& directory,
                                   std::uint16_t agent_port)
    : hub_(hub)
    , board_(board)
    , directory_(directory)
    , agent_port_(agent_port) {
    hub_.handle<wire::schema::EngineStateT>([this](link::connection& source, wire::schema::EngineStateT const& report) {
        apply_report(report, source.peer().process);
    });
}

std::string agent_controller::agent_address(std::string const& target_address) const {
    return target_address.substr(0, target_address.rfind(':')) + ":" + std::to_string(agent_port_);
}

void agent_controller::apply_report(wire::schema::EngineStateT const& message, std::string const& process) {
    auto const now = base::clock::now();
    auto const report = decode(message);
    directory_.set(message.target_address, process);
    bool const was_leaving = board_.fleet.reported_leaving(message.target_address);
    board_.fleet.update_report(message.target_address, report, now);
    if (report.leaving && !was_leaving)
        log::write(log::event_kind::target_leaving,
                   {{"address", message.target_address},
                    {"source", "agent"},
                    {"leaves_in_ms", report.leaves_in ? report.leaves_in->count() : -1},
                    {"running", report.running}});
    if (on_change_)
        on_change_();
}

void agent_controller::update_connections(base::time_point now) {
    if (!board_.routes)
        return;
    std::set<std::string> needed_agents;
    for (auto const& [id, target] : board_.fleet.targets()) {
        auto const* service = board_.routes->find_service(target.record.service);
        if (!target.removed && service != nullptr && service->engine)
            needed_agents.insert(agent_address(target.record.address));
    }
    for (auto const& address : needed_agents) {
        if (!agents_.contains(address))
            hub_.connect_address(address);
        agents_[address] = now;
    }
    std::erase_if(agents_, [&](auto const& entry) {
        if (now - entry.second < agent_retention)
            return false;
        hub_.disconnect_address(entry.first);
        return true;
    });
}

} // namespace cyclamenledge::forwarding_entry
