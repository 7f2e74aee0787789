#pragma once

#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::admission {

struct batch_bound_parameters {
    base::duration gap_target{base::milliseconds{49}};
    /// Share of gaps that may exceed the target.
    double late_share{0.05};
    /// Share of the target up to which the mean gap lets the bound grow.
    double headroom{0.9};
    std::uint32_t start{8};
    std::uint32_t maximum{64};
};

/// Number of streams at which the token gaps still meet a target, learned from the gaps. It approaches the target from
/// below, because a batch of long streams shrinks only slowly once it is too large.
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
    std::uint32_t gaps_{0};
    std::uint32_t late_{0};
    std::uint32_t peak_running_{0};
};

} // namespace cyclamenledge::admission
