#pragma once

#include "forwarding_entry/request_context.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// A request that needs a target, and how long it may wait for one.
struct placement_need {
    std::string request_id;
    forwarding::placement_request request;
    std::uint32_t priority{0};
    base::time_point arrived{};
    /// After this time the request is late even if it is placed at once.
    base::time_point on_time_until{};
    /// After this time a full engine is better than waiting on.
    base::time_point crowd_at{};
    base::time_point give_up_at{};
    std::function<bool()> cancelled;
};

/// What a request needs, apart from its times. The targets that it must not use again outlive the need.
placement_need make_need(request_context const& request, std::vector<std::string> const& excluded);

} // namespace cyclamenledge::forwarding_entry
