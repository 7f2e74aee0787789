#pragma once

#include "base/time.h"

namespace cyclamenledge::forwarding {

/// Tells refused callers of a service when to return, one after the other at the rate at which the entry is expected to
/// have permits for them, so that they do not find the same permit gone.
class return_schedule {
public:
    /// Later times are not told, counted from when the first target takes requests: by then another may have room.
    static constexpr base::seconds latest_return{5};

    /// Returns the time until the caller should return. `available_at` is when the first permit is expected. Until
    /// `held_until`, no target takes requests.
    base::milliseconds next(base::time_point available_at, double per_second, base::time_point now,
                            base::time_point held_until = {});

private:
    base::time_point last_{};
};

} // namespace cyclamenledge::forwarding
