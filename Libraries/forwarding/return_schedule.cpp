#include "forwarding/return_schedule.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

base::milliseconds return_schedule::next(base::time_point available_at, double per_second, base::time_point now,
                                         base::time_point held_until) {
    auto const earliest = std::max(now, held_until);
    auto const latest = earliest + latest_return;
    auto const longest = base::to_seconds(latest_return);
    auto const interval = base::from_seconds(per_second * longest > 1 ? 1 / per_second : longest);
    last_ = std::clamp(std::max(available_at, last_ + interval), earliest, base::time_point{latest});
    return std::chrono::ceil<base::milliseconds>(last_ - now);
}

} // namespace cyclamenledge::forwarding
