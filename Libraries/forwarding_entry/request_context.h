#pragma once

#include "forwarding/fleet_view.h"
#include "forwarding/route_set.h"
#include "forwarding/urgency.h"
#include "http/session.h"
#include "platform/request_headers.h"
#include "poison/request_content.h"

#include <algorithm>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// A caller's request with the configuration that was active when it arrived.
struct request_context {
    http::session_pointer client;
    http::request received;
    platform::caller_request caller;
    /// Keeps the route and the organisation alive.
    forwarding::route_set_pointer routes;
    forwarding::route const* route{nullptr};
    /// Null on a route that is open to all.
    forwarding::organisation const* organisation{nullptr};
    std::string service;
    poison::request_content content;
    base::time_point arrived{};
    /// Time by which the caller expects the final answer.
    base::time_point deadline{};

    std::uint32_t priority() const {
        return organisation != nullptr && organisation->priority ? *organisation->priority : route->priority;
    }
    forwarding::urgency urgency() const { return {priority(), route->priority}; }
    base::milliseconds time_left(base::time_point now) const {
        return std::chrono::duration_cast<base::milliseconds>(deadline - now);
    }
    forwarding::placement_request placement() const {
        forwarding::placement_request request;
        request.service = service;
        request.size = caller.size;
        request.pause_objective = route->pause_objective;
        request.route_homes = &route->home_regions;
        request.organisation_homes = organisation == nullptr ? nullptr : &organisation->home_regions;
        return request;
    }
    /// Whether the request may run more than once. Otherwise it is only sent again when it certainly has not run.
    bool may_run_again() const { return forwarding::may_run_again(route->kind); }
};

} // namespace cyclamenledge::forwarding_entry
