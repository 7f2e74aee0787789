#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenledge::admission {

struct warmup_parameters {
    std::uint32_t floor{2};
    /// The bound at which the target counts as warm.
    std::uint32_t maximum{64};
    /// The bound at most doubles per interval.
    base::duration interval{base::seconds{2}};
    /// A gap above this multiple of the usual gap at the same load, without load, means that the target is cold again.
    double gap_jump{3.0};
    /// Jumps at different times in a row that are needed; a single slow step also occurs on a warm target.
    std::uint32_t jumps_needed{3};
};

/// Bound on concurrency of a target that may be cold. Grows with observed successes.
class warmup_limit {
public:
    explicit warmup_limit(warmup_parameters const& parameters);

    void on_start(base::time_point now);
    void on_success(base::time_point now);
    void on_gap(base::duration gap, std::uint32_t running, base::time_point now);
    /// Returns whether this is another incarnation: the id changed or the uptime decreased.
    bool on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now);
    std::uint32_t bound() const { return bound_; }
    bool warm() const { return bound_ >= parameters_.maximum; }

private:
    /// The usual gap is kept per power of two of the running streams, since the gap grows with the batch.
    static constexpr std::size_t load_levels = 12;

    warmup_parameters parameters_;
    std::uint32_t bound_;
    std::uint32_t interval_bound_;
    base::time_point interval_start_{};
    std::array<double, load_levels> usual_gap_{};
    base::time_point last_jump_{};
    std::uint32_t jumps_{0};
    std::uint64_t incarnation_{0};
    base::duration uptime_{};
};

} // namespace cyclamenledge::admission
