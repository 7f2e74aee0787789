#include "forwarding/overload_control.h"

namespace cyclamenledge::forwarding {

void overload_control::apply_routes(route_set const& routes) {
    deferrable_.clear();
    if (settings_.deferrable_objective.count() <= 0)
        return;
    for (auto const& item : routes.routes()) {
        if (!is_stream(item.kind) || item.latency_objective < settings_.deferrable_objective)
            continue;
        for (auto const& weighted : item.services)
            deferrable_.insert(weighted.service);
    }
}

void overload_control::on_pace_stated(std::string_view service) {
    if (settings_.follow_pace && !paced_.contains(service))
        paced_.emplace(service);
}

} // namespace cyclamenledge::forwarding
