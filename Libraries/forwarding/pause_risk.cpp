#include "forwarding/pause_risk.h"

#include "forwarding/engine_step.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

namespace {

// Exceeds the distance to another region (0.25), a full memory (1) and the longest wait for reading (0.5).
constexpr double base_penalty = 3;
// The excess orders engines that all exceed the objective. Its bound keeps the sum below the score of a copy to another
// failure domain.
constexpr double largest_excess = 1;

} // namespace

double expected_pause(pause_facts const& facts, pace_estimate const& pace) {
    auto const step = engine_step::length(facts.running + 1.0, 1.0);
    return facts.tokens_per_event * step * std::max(pace.usual * slow_phase_factor, pace.present);
}

double pause_penalty(pause_facts const& facts, pace_estimate const& pace) {
    if (facts.objective.count() <= 0 || facts.expected_output <= longest_short_output)
        return 0;
    auto const share = expected_pause(facts, pace) / static_cast<double>(facts.objective.count());
    return share <= 1 ? 0 : base_penalty + std::min(share - 1, largest_excess);
}

} // namespace cyclamenledge::forwarding
