#pragma once

#include "base/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace cyclamenledge::retry {

/// Estimates the 95% quantile of recent latencies in constant memory.
class latency_quantile {
public:
    latency_quantile()
        : current_(make_estimator()) {}

    void observe(base::duration latency);
    /// Returns the estimate. No value until minimum_count latencies have been observed.
    std::optional<base::duration> value() const;

private:
    /// The p95 of fewer values is mostly their maximum.
    static constexpr std::size_t minimum_count = 40;
    /// The estimator is replaced after this many values, because a P-square estimate never discards old values.
    static constexpr std::size_t renewal_count = 1000;

    using estimator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    static estimator make_estimator() { return estimator{boost::accumulators::quantile_probability = 0.95}; }

    estimator current_;
    std::optional<base::duration> previous_;
};

} // namespace cyclamenledge::retry
