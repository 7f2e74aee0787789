#pragma once

#include "forwarding_entry/request_context.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// A request that needs a target, with the time limits of its wait.
struct placement_need {
    std::string request_id;
    forwarding::placement_request request;
    std::uint32_t priority{0};
    base::time_point arrived{};
    /// A request that is placed after this time misses its latency objective.
    base::time_point on_time_until{};
    /// From this time on a target without room may be overcommitted, since waiting longer is worse.
    base::time_point overcommit_at{};
    base::time_point give_up_at{};
    std::function<bool()> is_cancelled;
};

/// Fills in everything but the time limits. The need refers to the excluded targets, which must outlive it.
placement_need make_placement_need(request_context const& request, std::vector<std::string> const& excluded);

} // namespace cyclamenledge::forwarding_entry
