#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace cyclamenledge::routing {

/// Constants of the choice of a target.
struct routing_policy {
    /// A hint counts half after this share of the mean duration of requests at the target, within the limits below, and
    /// the mean of the service takes its place. A target whose requests take 1 s is a different one 1 s later.
    double hint_half_life_share{0.2};
    base::milliseconds hint_half_life_least{200};
    /// Also used until a duration is known.
    base::milliseconds hint_half_life_most{2000};
    /// Expected wait at a target whose bound is used up; the first-token target of 390 ms, rounded.
    double full_load_milliseconds{400};
    /// A round trip between regions (2 x 20 ms) and the price of the traffic, which is billed by volume.
    double region_price_milliseconds{80};
    /// A region counts as full from this usage of its candidates, because at a higher one lagging hints hide full
    /// targets.
    double full_region_usage{0.85};
    /// Prefix affinity holds while the target's load is at most this multiple of the mean.
    double affinity_load_factor{1.25};
    base::seconds prefix_lifetime{600};
    /// Each entry waits for a part of this time, by hash, before it first uses a new target.
    base::milliseconds ramp_spread{4000};
    /// Own outstanding requests at a cold target start at one and at most double in this time.
    base::milliseconds ramp_interval{2000};
    std::uint32_t ramp_doublings{6};
    std::uint32_t ejection_failures{5};
    base::seconds ejection_time{10};
    base::seconds ejection_time_limit{60};
    /// Silence of most links of another region within this time is a network partition.
    base::seconds partition_window{5};
    std::size_t partition_minimum{2};
};

/// Mechanisms that a test can leave out to show that its property depends on them.
enum class mechanism : std::uint8_t { ramp, ejection_bound, partition_check, service_state, affinity_bound, count };

} // namespace cyclamenledge::routing
