#include "orders/demand_filter.h"

#include <algorithm>

namespace cyclamenledge::orders {

std::uint32_t demand_filter::update(std::uint32_t needed, base::time_point now) {
    if (needed >= wanted_) {
        wanted_ = needed;
        lower_since_.reset();
        return wanted_;
    }
    if (!lower_since_) {
        lower_since_ = now;
        largest_lower_ = 0;
    }
    largest_lower_ = std::max(largest_lower_, needed);
    if (now - *lower_since_ >= delay_) {
        wanted_ = largest_lower_;
        lower_since_.reset();
    }
    return wanted_;
}

} // namespace cyclamenledge::orders
