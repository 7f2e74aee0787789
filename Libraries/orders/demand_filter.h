#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cyclamenledge::orders {

/// Lower demand counts only after it has lasted this long, because a load takes minutes of the weight store's rate.
inline constexpr base::seconds scale_down_delay{300};

/// Turns the demand seen into the number of targets to keep warm. Rises at once and falls late.
class demand_filter {
public:
    explicit demand_filter(base::duration delay = scale_down_delay)
        : delay_(delay) {}

    /// Takes the number of targets that the present demand needs, and returns the number to keep warm.
    std::uint32_t update(std::uint32_t needed, base::time_point now);

private:
    base::duration delay_;
    std::uint32_t wanted_{0};
    std::optional<base::time_point> lower_since_;
    /// The largest demand since it fell below the wanted number.
    std::uint32_t largest_lower_{0};
};

} // namespace cyclamenledge::orders
