#pragma once

#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

/// Result of a request, as evidence of the target's health.
enum class target_outcome : std::uint8_t { answered, failed, unreachable };

/// Decides whether a target is ejected, from the outcomes of its requests. Health checks are not used, because a target
/// may fail requests while its health check succeeds, and the reverse.
class target_health {
public:
    /// Number of consecutive failures that ejects a target.
    static constexpr std::uint32_t failures_to_eject = 4;
    /// Failures that a refused or timed out connection counts as; it is stronger evidence than a failed request.
    static constexpr std::uint32_t unreachable_weight = 2;
    /// Weight of one outcome in the exponential moving average of the failure share.
    static constexpr double outcome_weight = 0.2;
    /// Failure share that ejects a target. Higher than the share of requests that a healthy service fails by itself.
    static constexpr double share_to_eject = 0.55;
    static constexpr base::milliseconds first_ejection{1000};
    static constexpr base::milliseconds longest_ejection{8000};

    void record(target_outcome outcome, base::time_point now);
    bool ejected(base::time_point now) const { return now < ejected_until_; }
    /// Exponential moving average of the share of failed requests.
    double failure_share() const { return failure_share_; }

private:
    std::uint32_t failures_in_row_{0};
    std::uint32_t ejections_{0};
    double failure_share_{0};
    base::time_point ejected_until_{};
};

} // namespace cyclamenledge::forwarding
