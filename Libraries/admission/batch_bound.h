#pragma once

#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::admission {

struct batch_bound_parameters {
    base::duration gap_target{base::milliseconds{49}};
    /// Fraction of gaps that may exceed the target.
    double late_share{0.05};
    /// The bound grows only while the mean gap is below this fraction of the target.
    double headroom{0.9};
    std::uint32_t initial{8};
    std::uint32_t maximum{64};
};

/// Adaptive bound on the batch size: the number of streams at which the observed token gaps still meet a target. The
/// bound approaches that number from below, because a batch of long streams shrinks only slowly once it is too large.
class batch_bound {
public:
    explicit batch_bound(batch_bound_parameters const& parameters);

    void configure(batch_bound_parameters const& parameters);
    void on_gap(base::duration gap, std::uint32_t running, base::time_point now);
    std::uint32_t bound() const { return static_cast<std::uint32_t>(bound_); }

private:
    void adjust();

    batch_bound_parameters parameters_;
    double bound_;
    base::time_point interval_start_{};
    base::duration gap_sum_{};
    std::uint32_t gap_count_{0};
    std::uint32_t late_gaps_{0};
    std::uint32_t peak_running_{0};
};

} // namespace cyclamenledge::admission
