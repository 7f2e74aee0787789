#pragma once

#include "base/time.h"

#include <algorithm>

namespace cyclamenledge::retry {

/// Time by which a caller needs the response. The remaining time is sent to the next hop instead of a point in time,
/// because the clocks of the hops differ.
class deadline {
public:
    /// Creates a deadline from the remaining time that the previous hop sent.
    static deadline after(base::milliseconds remaining, base::time_point now) { return deadline{now + remaining}; }

    base::duration remaining(base::time_point now) const { return std::max(at_ - now, base::duration::zero()); }
    bool expired(base::time_point now) const { return now >= at_; }
    /// Returns the remaining time to send to the next hop: reduced by the transit time and rounded down, so that the
    /// next hop never works past the deadline.
    base::milliseconds remaining_for_next_hop(base::time_point now, base::duration transit) const {
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
