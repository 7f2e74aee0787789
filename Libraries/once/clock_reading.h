#pragma once

#include "base/time.h"

namespace cyclamenledge::once {

/// One instant on both clocks of a process. Intervals are measured on the steady clock, key creation times on the wall
/// clock.
struct clock_reading {
    base::time_point steady{};
    base::wall_time wall{};
};

} // namespace cyclamenledge::once
