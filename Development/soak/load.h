#pragma once

#include "base/time.h"
#include "support/platform/target_standin.h"

#include <cstddef>
#include <span>
#include <string_view>

namespace cyclamenledge::soak {

/// Plain calls and planned stops of entries in series.
struct load {
    char const* name;
    std::size_t callers;
    base::milliseconds mean_pause;
    double read_share;
    platform::standin::slow_calls slow;
    platform::standin::target_faults faults;
    /// From one planned stop to the next. Zero for none.
    base::milliseconds stop_interval;
    /// Signals and publications come during the stops.
    bool interrupted;
    /// The fault plan is at work beside it.
    bool harmed;
};

std::span<load const> loads();
/// Null for a name that no load has.
load const* find_load(std::string_view name);

} // namespace cyclamenledge::soak
