#pragma once

#include "base/time.h"

#include <algorithm>

namespace cyclamenledge::limits {

/// An amount that grows at a rate up to a depth. It starts empty, so that a process that lost its state cannot issue
/// again what it issued before.
class accrual {
public:
    explicit accrual(base::time_point now)
        : at_(now) {}

    void advance(double rate_per_second, double depth, base::time_point now) {
        if (now <= at_)
            return;
        level_ = std::min(level_ + rate_per_second * base::to_seconds(now - at_), std::max(depth, level_));
        at_ = now;
    }
    double level() const { return level_; }
    /// Can make the level negative: what was spent ahead is accrued first.
    void spend(double amount, double lowest) { level_ = std::max(level_ - amount, lowest); }

private:
    double level_{0};
    base::time_point at_;
};

} // namespace cyclamenledge::limits
