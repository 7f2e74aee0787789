#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cyclamenledge::orders {

/// Demand must stay lower for this long before targets are released, because loading a model again takes minutes at the
/// rate of the weight store.
inline constexpr base::seconds scale_down_delay{300};

/// Computes the number of targets to keep warm from the observed demand. The number rises immediately and falls after a
/// delay.
class demand_filter {
public:
    explicit demand_filter(base::duration delay = scale_down_delay)
        : delay_(delay) {}

    /// Records the number of targets that the current demand requires and returns the number to keep warm.
    std::uint32_t update(std::uint32_t needed, base::time_point now);

private:
    base::duration delay_;
    std::uint32_t warm_targets_{0};
    std::optional<base::time_point> lower_demand_since_;
    /// Maximum demand since it fell below the number of targets to keep warm.
    std::uint32_t maximum_lower_demand_{0};
};

} // namespace cyclamenledge::orders
