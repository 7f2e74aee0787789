#include "membership/link_monitor.h"

#include "base/name_table.h"

#include <algorithm>

namespace cyclamenledge::membership {

namespace {

constexpr base::name_table<link_fault, 3> fault_names{base::make_names({"none", "inbound", "outbound"})};

bool interval_elapsed(std::optional<base::time_point> last, base::duration interval, base::time_point now) {
    return !last || now - *last >= interval;
}

} // namespace

std::string_view name_of(link_fault fault) {
    return fault_names.name(fault);
}

link_monitor::link_monitor(base::time_point now, link_switches switches)
    : last_tick_(now)
    , last_frame_(now)
    , last_echo_(now)
    , switches_(switches) {}

void link_monitor::restart_deadlines(base::time_point now) {
    last_frame_ = now;
    last_echo_ = now;
}

link_actions link_monitor::tick(base::time_point now) {
    if (now - last_tick_ > pause_threshold && switches_.detect_own_pause) {
        // Frames that arrived during the pause are still unread, so missing frames don't show a fault of the peer.
        ++pause_count_;
        restart_deadlines(now);
    }
    last_tick_ = now;

    link_actions step;
    step.fault = fault(now);
    if (interval_elapsed(last_heartbeat_, heartbeat_interval, now)) {
        step.send_heartbeat = true;
        last_heartbeat_ = now;
    }
    if (step.fault == link_fault::none) {
        last_connection_attempt_.reset();
    } else if (interval_elapsed(last_connection_attempt_, heartbeat_timeout, now)) {
        step.open_connection = true;
        last_connection_attempt_ = now;
    }
    return step;
}

void link_monitor::on_frame(base::time_point now) {
    last_frame_ = std::max(last_frame_, now);
}

void link_monitor::on_echo(std::optional<base::time_point> own_stamp, base::time_point now) {
    on_frame(now);
    // This process cannot have sent a timestamp that lies in the future.
    if (own_stamp && *own_stamp <= now)
        last_echo_ = std::max(last_echo_, *own_stamp);
}

void link_monitor::on_connected(base::time_point now) {
    restart_deadlines(now);
    last_heartbeat_.reset();
    last_connection_attempt_.reset();
}

link_fault link_monitor::fault(base::time_point now) const {
    if (now - last_frame_ >= heartbeat_timeout)
        return link_fault::inbound;
    if (switches_.check_echo && now - last_echo_ >= heartbeat_timeout)
        return link_fault::outbound;
    return link_fault::none;
}

} // namespace cyclamenledge::membership
