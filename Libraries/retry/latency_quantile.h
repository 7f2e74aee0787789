#pragma once

#include "base/time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace cyclamenledge::retry {

/// The 95% quantile of recent latencies, in constant memory.
class latency_quantile {
public:
    latency_quantile()
        : current_(make()) {}

    void observe(base::duration latency);
    /// Empty until enough latencies have been seen.
    std::optional<base::duration> value() const;

private:
    /// A p95 of fewer values is mostly the maximum.
    static constexpr std::size_t minimum_count = 40;
    /// The estimate starts anew after this many values, because the P-square estimate never forgets.
    static constexpr std::size_t renewal_count = 1000;

    using estimator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;

    static estimator make() { return estimator{boost::accumulators::quantile_probability = 0.95}; }

    estimator current_;
    std::optional<base::duration> previous_;
};

} // namespace cyclamenledge::retry
