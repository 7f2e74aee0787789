#pragma once

#include "base/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::orders {

/// Assigns time slots for starting model loads, so that all loads of the fleet together stay within the rate of the
/// weight store. Targets with the same list of claimants never share a slot. The claimants are the published targets
/// that have to load a model.
class load_pacer {
public:
    /// `interval` is the time that the weight store needs for one load at its full rate.
    explicit load_pacer(base::milliseconds interval);

    /// Returns the start of the first slot of `own` at or after `now`. `own` counts as a claimant even if it is not
    /// listed.
    base::wall_time next_slot(std::string_view own, std::vector<std::string> const& claimants,
                              base::wall_time now) const;

private:
    base::milliseconds interval_;
};

} // namespace cyclamenledge::orders
