#pragma once

#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

/// The time for which a target wants nothing from this process, as it says in its refusals.
class target_hold_off {
public:
    /// Calls that copy memory off a target in one hold-off. Without them, the streams that run there could be lost.
    static constexpr std::uint32_t maximum_copy_calls = 2;

    /// Applies an answer of the target that wants nothing for the time. Answers overtake each other, and each holds, so
    /// the latest end counts. Returns whether the end has changed.
    bool on_answer(base::milliseconds length, base::time_point now);
    bool active(base::time_point now) const { return now < end_; }
    base::time_point end() const { return end_; }
    bool may_copy(base::time_point now) const { return !active(now) || copy_calls_ < maximum_copy_calls; }
    /// Counts a call that copies memory off the target. Returns whether it may be made.
    bool take_copy_call(base::time_point now);

private:
    base::time_point end_{};
    std::uint32_t copy_calls_{0};
};

} // namespace cyclamenledge::forwarding
