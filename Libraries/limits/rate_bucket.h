#pragma once

#include "base/time.h"

#include <algorithm>

namespace cyclamenledge::limits {

/// A token bucket that refills at a rate up to a depth. It starts empty, so that a process that lost its state cannot
/// issue the same amount twice.
class rate_bucket {
public:
    explicit rate_bucket(base::time_point now)
        : updated_at_(now) {}

    void refill(double rate_per_second, double depth, base::time_point now) {
        if (now <= updated_at_)
            return;
        level_ = std::min(level_ + rate_per_second * base::to_seconds(now - updated_at_), std::max(depth, level_));
        updated_at_ = now;
    }
    double level() const { return level_; }
    /// Spends `amount`. The level may become negative down to `lowest`; the refill then pays the deficit first.
    void spend(double amount, double lowest) { level_ = std::max(level_ - amount, lowest); }

private:
    double level_{0};
    base::time_point updated_at_;
};

} // namespace cyclamenledge::limits
