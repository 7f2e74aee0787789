#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace cyclamenledge::forwarding {

/// How long work takes at a target in relation to its nominal speed.
struct pace_estimate {
    double usual{1};
    double present{1};
};

inline constexpr double lowest_pace = 0.1;
inline constexpr double highest_pace = 20;

/// Limits a pace to the range that decisions use. No value unless it is finite and above zero.
std::optional<double> limit_pace(double pace);

/// A stated pace that differs by more than this factor from a measured one is not used. Slow phases take 2.5 times as
/// long, and measuring is coarse.
inline constexpr double largest_pace_difference = 3;

bool contradicts_pace(double stated, double known);

/// Tracks the pace of one target from values that arrive irregularly. The usual pace is a median, so that phases of
/// slowness do not change it while they take up less than half of the time.
class target_pace {
public:
    /// How long a value counts as the present pace: half of a slow phase of 600 ms, which is the mean time that is left
    /// of a phase when it is noticed.
    static constexpr base::milliseconds present_lifetime{300};
    /// Period of the median.
    static constexpr base::milliseconds usual_period{5000};

    /// Ignores values that are not finite or not above zero.
    void observe(double pace, base::time_point now);
    bool known() const { return !values_.empty(); }
    /// Time since the last value. No value if there was none.
    std::optional<base::duration> age(base::time_point now) const;
    /// No value before the first observation.
    std::optional<double> usual() const;
    /// The last value. No value if it is older than present_lifetime.
    std::optional<double> present(base::time_point now) const;

private:
    /// Values within this time count as one, so that a phase with many answers does not outweigh a longer time with
    /// few.
    static constexpr base::milliseconds slot_length{100};
    /// Values that are kept even when they are older than the period: without requests, the last ones still describe
    /// the machine.
    static constexpr std::size_t minimum_values = 16;

    struct value {
        base::time_point since;
        double pace{1};
    };
    std::deque<value> values_;
    base::time_point last_at_{};
};

} // namespace cyclamenledge::forwarding
