#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace cyclamenledge::routing {

/// Parameters of target selection.
struct routing_policy {
    /// Half-life of a hint as a fraction of the mean request duration at the target, within the limits below. As the
    /// weight of a hint decays, the mean load of the service replaces it, because a target whose requests take 1 s
    /// serves other requests 1 s later.
    double hint_half_life_fraction{0.2};
    base::milliseconds minimum_hint_half_life{200};
    /// Also used until the first request duration is observed.
    base::milliseconds maximum_hint_half_life{2000};
    /// Expected wait at a target whose concurrency limit is reached; the first-token target of 390 ms, rounded.
    double full_load_wait_milliseconds{400};
    /// Cost of crossing regions: a round trip between regions (2 x 20 ms) and the traffic, which is billed by volume.
    double region_crossing_cost_milliseconds{80};
    /// A region counts as full from this usage of its candidates, because lagging hints hide full targets at a higher
    /// usage.
    double full_region_usage{0.85};
    /// Prefix affinity applies while the usage of the target is at most this multiple of the mean usage.
    double affinity_load_factor{1.25};
    base::seconds prefix_lifetime{600};
    /// The entries start to use a new target at different times within this span. A hash determines the time of each
    /// entry.
    base::milliseconds ramp_spread{4000};
    /// The limit of an entry's outstanding requests at a cold target starts at one and doubles per interval.
    base::milliseconds ramp_interval{2000};
    std::uint32_t ramp_doublings{6};
    std::uint32_t ejection_failures{5};
    base::seconds ejection_time{10};
    base::seconds ejection_time_limit{60};
    /// If most targets of another region become unreachable within this time, a network partition is assumed.
    base::seconds partition_window{5};
    std::size_t partition_minimum_targets{2};
};

/// Mechanisms that a test can disable to show that its property depends on them.
enum class mechanism : std::uint8_t { ramp, ejection_bound, partition_check, service_state, affinity_bound, count };

} // namespace cyclamenledge::routing
