#pragma once

#include "base/time.h"
#include "forwarding/route_set.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding {

/// What makes a service subject to overload control.
struct overload_settings {
    /// A stream route with at least this latency objective. Zero for none.
    base::milliseconds deferrable_objective{0};
    /// Targets that state the pace of their machine.
    bool follow_pace{false};
};

/// The services under overload control: their requests wait at the agents in the order of their urgency, and requests
/// that cannot be served in time are refused on arrival.
class overload_control {
public:
    void configure(overload_settings const& settings) { settings_ = settings; }
    void apply_routes(route_set const& routes);
    /// A target of the service has stated its pace.
    void on_pace_stated(std::string_view service);
    bool applies_to(std::string_view service) const {
        return deferrable_.contains(service) || paced_.contains(service);
    }
    bool follows_pace() const { return settings_.follow_pace; }

private:
    overload_settings settings_;
    std::set<std::string, std::less<>> deferrable_;
    std::set<std::string, std::less<>> paced_;
};

} // namespace cyclamenledge::forwarding
