#pragma once

#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

/// How a request on a target ended, as far as it tells something about the target.
enum class target_outcome : std::uint8_t { answered, failed, unreachable };

/// Ejects a target by the outcomes of its requests. Health checks are not used, since a target may fail requests while
/// its check is good, and the reverse.
class target_health {
public:
    /// Failures in a row that eject a target.
    static constexpr std::uint32_t failures_to_eject = 4;
    /// A refused or timed out connection says more than one failed request.
    static constexpr std::uint32_t unreachable_weight = 2;
    /// Weight of one outcome in the moving share of failures.
    static constexpr double outcome_weight = 0.2;
    /// Share of failures that ejects a target. Above the share that a service fails by itself.
    static constexpr double share_to_eject = 0.55;
    static constexpr base::milliseconds first_ejection{1000};
    static constexpr base::milliseconds longest_ejection{8000};

    void record(target_outcome outcome, base::time_point now);
    bool ejected(base::time_point now) const { return now < ejected_until_; }
    /// Moving share of failed requests.
    double failure_share() const { return failure_share_; }

private:
    std::uint32_t failures_in_row_{0};
    std::uint32_t ejections_{0};
    double failure_share_{0};
    base::time_point ejected_until_{};
};

} // namespace cyclamenledge::forwarding
