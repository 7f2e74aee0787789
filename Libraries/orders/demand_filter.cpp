#include "orders/demand_filter.h"

#include <algorithm>

namespace cyclamenledge::orders {

std::uint32_t demand_filter::update(std::uint32_t needed, base::time_point now) {
    if (needed >= warm_targets_) {
        warm_targets_ = needed;
        lower_demand_since_.reset();
        return warm_targets_;
    }
    if (!lower_demand_since_) {
        lower_demand_since_ = now;
        maximum_lower_demand_ = 0;
    }
    maximum_lower_demand_ = std::max(maximum_lower_demand_, needed);
    if (now - *lower_demand_since_ >= delay_) {
        warm_targets_ = maximum_lower_demand_;
        lower_demand_since_.reset();
    }
    return warm_targets_;
}

} // namespace cyclamenledge::orders
