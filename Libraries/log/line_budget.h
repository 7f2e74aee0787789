#pragma once

#include "base/time.h"
#include "log/event_kind.h"

#include <cstdint>

namespace cyclamenledge::log {

/// Bounds the lines of a process. The last part of the budget is kept for warnings and errors, which explain failures
/// when most lines are about successes.
class line_budget {
public:
    static constexpr double lines_per_second = 400;
    /// Lines that may be written at once after a quiet time.
    static constexpr double burst = 800;
    /// Part of the burst that only warnings and errors may use.
    static constexpr double kept_for_warnings = 0.25;

    /// Whether a line of the level may be written now. Counts it as dropped otherwise.
    bool try_take(severity level, base::time_point now);
    /// A line could not be written.
    void count_dropped() { ++dropped_; }
    /// Lines dropped since the last call.
    std::uint64_t take_dropped();

private:
    double left_{burst};
    base::time_point filled_at_{};
    std::uint64_t dropped_{0};
};

} // namespace cyclamenledge::log
