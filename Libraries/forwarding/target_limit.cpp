#include "forwarding/target_limit.h"

namespace cyclamenledge::forwarding {

bool target_limit::on_answer(std::optional<double> named, base::time_point now) {
    if (!named && (!latest_.per_second || now - latest_.observed_at < hold_time))
        return false;
    bool const changed = latest_.per_second != named;
    latest_ = {named, now};
    return changed;
}

bool target_limit::merge(limit_observation const& other) {
    bool const changed = latest_.per_second != other.per_second;
    auto const tolerance = changed ? base::milliseconds{0} : age_tolerance;
    if (other.observed_at <= latest_.observed_at + tolerance)
        return false;
    latest_ = other;
    return changed;
}

} // namespace cyclamenledge::forwarding
