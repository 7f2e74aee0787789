#include "forwarding/target_health.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

void target_health::record(target_outcome outcome, base::time_point now) {
    bool const failed = outcome != target_outcome::answered;
    failure_share_ += outcome_weight * ((failed ? 1.0 : 0.0) - failure_share_);
    if (!failed) {
        failures_in_row_ = 0;
        ejections_ = 0;
        return;
    }
    failures_in_row_ += outcome == target_outcome::unreachable ? unreachable_weight : 1;
    if (failures_in_row_ < failures_to_eject && failure_share_ < share_to_eject)
        return;
    auto const ejection_time = std::min(first_ejection * (1U << std::min(ejections_, 3U)), longest_ejection);
    ++ejections_;
    ejected_until_ = now + ejection_time;
    // The first request after the ejection is a probe: its failure ejects the target again.
    failures_in_row_ = failures_to_eject - 1;
    failure_share_ = 0;
}

} // namespace cyclamenledge::forwarding
