#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace cyclamenledge::admission {

struct warmup_parameters {
    std::uint32_t floor{2};
    /// Largest bound; the target counts as warm when the bound reaches it.
    std::uint32_t maximum{64};
    /// The bound at most doubles per interval.
    base::duration interval{base::seconds{2}};
    /// A token gap above this multiple of the typical gap at the same load indicates a cold target, unless more than
    /// half of the bound is in use.
    double gap_jump{3.0};
    /// Number of consecutive gap jumps at different times that resets the bound. A single slow step also occurs on a
    /// warm target.
    std::uint32_t required_jumps{3};
};

/// Concurrency limit of a target that may be cold. The limit grows with observed successes.
class warmup_limit {
public:
    explicit warmup_limit(warmup_parameters const& parameters);

    void reset(base::time_point now);
    void on_success(base::time_point now);
    void on_gap(base::duration gap, std::uint32_t running, base::time_point now);
    /// Returns whether the engine restarted since the last call: its id changed or its uptime decreased.
    bool on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now);
    std::uint32_t bound() const { return bound_; }
    bool warm() const { return bound_ >= parameters_.maximum; }

private:
    /// Number of load levels, one per power of two of running streams. The typical gap is kept per load level, because
    /// gaps grow with the batch.
    static constexpr std::size_t load_levels = 12;

    warmup_parameters parameters_;
    std::uint32_t bound_;
    std::uint32_t interval_bound_;
    base::time_point interval_start_{};
    std::array<double, load_levels> typical_gap_{};
    base::time_point last_jump_at_{};
    std::uint32_t gap_jumps_{0};
    std::uint64_t incarnation_{0};
    base::duration uptime_{};
};

} // namespace cyclamenledge::admission
