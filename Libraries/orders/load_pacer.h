#pragma once

#include "base/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::orders {

/// Gives each agent its own times to start a load, so that the loads of the fleet stay within the weight store's rate.
/// Agents with the same list of claimants never share a slot; the list is the published targets that have to load.
class load_pacer {
public:
    /// The interval is the time that the weight store needs for one load at its full rate.
    explicit load_pacer(base::milliseconds interval);

    /// The first start of a slot of `own` at or after `now`. `own` counts as a claimant even if it isn't listed.
    base::wall_time next_slot(std::string_view own, std::vector<std::string> const& claimants,
                              base::wall_time now) const;

private:
    base::milliseconds interval_;
};

} // namespace cyclamenledge::orders
