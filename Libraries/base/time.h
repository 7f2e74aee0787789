#pragma once

#include <chrono>

namespace cyclamenledge::base {

/// Monotonic time of this process. Decision code receives it as an argument.
using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;

/// Wall-clock time, used only for the creation time of keys and the publication time of owner sets.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

using std::chrono::milliseconds;
using std::chrono::seconds;

inline double to_seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

inline duration from_seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace cyclamenledge::base
