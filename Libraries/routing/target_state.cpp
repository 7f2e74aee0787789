#include "routing/target_state.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenledge::routing {

double target_state::hint_weight(base::time_point now, routing_policy const& policy) const {
    if (!hint_received_at)
        return 0;
    auto const age = std::max(base::to_seconds(now - *hint_received_at), 0.0);
    auto const minimum = base::to_seconds(policy.minimum_hint_half_life);
    auto const maximum = base::to_seconds(policy.maximum_hint_half_life);
    auto const half_life =
        mean_seconds > 0 ? std::clamp(policy.hint_half_life_fraction * mean_seconds, minimum, maximum) : maximum;
    return std::exp2(-age / half_life);
}

void target_state::observe_duration(base::duration elapsed) {
    // With a weight of 1/16 the average adapts to a change of lengths within some tens of requests.
    constexpr double weight = 1.0 / 16;
    auto const value = base::to_seconds(elapsed);
    mean_seconds = mean_seconds > 0 ? mean_seconds + weight * (value - mean_seconds) : value;
}

double target_state::other_requests_at_hint() const {
    auto const total = static_cast<double>(hint.running) + static_cast<double>(hint.queued);
    return std::max(total - static_cast<double>(own_outstanding_at_hint), 0.0);
}

std::uint32_t target_state::ramp_limit(base::time_point now, routing_policy const& policy) const {
    constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();
    if (ramp == ramp_kind::none)
        return unlimited;
    auto const ramp_time = now - ramp_start - ramp_delay;
    if (ramp_time < base::duration::zero())
        return 0;
    auto const doublings = ramp_time / policy.ramp_interval;
    return doublings >= policy.ramp_doublings ? unlimited : 1U << static_cast<unsigned>(doublings);
}

void target_state::start_ramp(ramp_kind kind, base::time_point now) {
    ramp = kind;
    ramp_start = now;
}

void target_state::set_hint(load_hint const& value, base::time_point now) {
    if (hint_received_at && value.incarnation != hint.incarnation)
        start_ramp(ramp_kind::until_warm, now);
    hint = value;
    hint_received_at = now;
    own_outstanding_at_hint = own_outstanding;
    if (ramp == ramp_kind::until_warm && value.bound >= maximum_running)
        ramp = ramp_kind::none;
}

void target_state::eject(base::time_point now, routing_policy const& policy) {
    auto const factor = 1U << std::min(ejections, 5U);
    ejected_at = now;
    next_probe_at = now + std::min<base::duration>(policy.ejection_time * factor, policy.ejection_time_limit);
    probing = false;
    ++ejections;
}

void target_state::end_ejection(base::time_point now) {
    ejected_at.reset();
    probing = false;
    consecutive_failures = 0;
    start_ramp(ramp_kind::timed, now);
}

bool target_state::recently_unreachable(base::time_point now, routing_policy const& policy) const {
    bool const link_lost = link_lost_at && now - *link_lost_at <= policy.partition_window;
    bool const failing = consecutive_failures > 0 && now - last_failure <= policy.partition_window;
    return link_lost || failing;
}

void target_state::copy_learned_state(target_state const& earlier, base::time_point now) {
    auto updated = earlier;
    updated.name = name;
    updated.region = region;
    updated.maximum_running = maximum_running;
    updated.crosses_region = crosses_region;
    updated.in_service = in_service;
    if (in_service && !earlier.in_service)
        updated.start_ramp(ramp_kind::timed, now);
    *this = updated;
}

} // namespace cyclamenledge::routing
