#include "retry/latency_quantile.h"

namespace cyclamenledge::retry {

void latency_quantile::observe(base::duration latency) {
    current_(base::to_seconds(latency));
    if (boost::accumulators::count(current_) < renewal_count)
        return;
    previous_ = value();
    current_ = make_estimator();
}

std::optional<base::duration> latency_quantile::value() const {
    if (boost::accumulators::count(current_) < minimum_count)
        return previous_;
    return base::from_seconds(boost::accumulators::p_square_quantile(current_));
}

} // namespace cyclamenledge::retry
