#include "log/line_budget.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::log {

bool line_budget::try_take(severity level, base::time_point now) {
    left_ = std::min(burst, left_ + lines_per_second * base::to_seconds(now - filled_at_));
    filled_at_ = now;
    double const floor = level >= severity::warning ? 0 : kept_for_warnings * burst;
    if (left_ - 1 < floor) {
        ++dropped_;
        return false;
    }
    left_ -= 1;
    return true;
}

std::uint64_t line_budget::take_dropped() {
    return std::exchange(dropped_, 0);
}

} // namespace cyclamenledge::log
