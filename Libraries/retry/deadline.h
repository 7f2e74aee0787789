#pragma once

#include "base/time.h"

#include <algorithm>

namespace cyclamenledge::retry {

/// The time by which a caller needs its answer. Hops carry the remaining time, because their clocks differ.
class deadline {
public:
    /// From the remaining time that the previous hop stated.
    static deadline after(base::milliseconds remaining, base::time_point now) { return deadline{now + remaining}; }

    base::duration remaining(base::time_point now) const { return std::max(at_ - now, base::duration::zero()); }
    bool expired(base::time_point now) const { return now >= at_; }
    /// What the next hop is told: rounded down and less the transit time, so that it never works past the deadline.
    base::milliseconds to_carry(base::time_point now, base::duration transit) const {
        return std::chrono::floor<base::milliseconds>(
            std::max<base::duration>(remaining(now) - transit, base::duration::zero()));
    }
    base::time_point at() const { return at_; }

private:
    explicit deadline(base::time_point at)
        : at_(at) {}

    base::time_point at_;
};

} // namespace cyclamenledge::retry
