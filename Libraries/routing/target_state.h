#pragma once

#include "base/time.h"
#include "routing/route.h"
#include "routing/routing_policy.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::routing {

/// Outcome of an attempt at a target. Refusals and cancellations do not affect the health of the target.
enum class attempt_outcome : std::uint8_t { success, failure, refused, cancelled };

/// Kind of the ramp that limits an entry's requests at a cold target. An until_warm ramp ends when a hint reports that
/// the target is warm; a timed ramp ends only with its last doubling.
enum class ramp_kind : std::uint8_t { none, until_warm, timed };

/// State of one target as observed by one entry.
struct target_state {
    std::string_view name;
    std::uint32_t id{0};
    std::uint32_t region{0};
    std::uint32_t maximum_running{0};
    bool crosses_region{false};
    bool in_service{true};
    bool leaving{false};
    bool link_up{false};

    load_hint hint{};
    std::optional<base::time_point> hint_received_at{};
    std::uint32_t own_outstanding_at_hint{0};
    std::uint32_t own_outstanding{0};
    /// Moving average of the duration of the entry's successful requests, zero before the first one.
    double mean_seconds{0};

    ramp_kind ramp{ramp_kind::until_warm};
    base::time_point ramp_start{};
    base::duration ramp_delay{};

    std::uint32_t consecutive_failures{0};
    base::time_point last_failure{};
    std::optional<base::time_point> link_lost_at{};
    std::optional<base::time_point> ejected_at{};
    base::time_point next_probe_at{};
    std::uint32_t ejections{0};
    bool probing{false};

    std::uint32_t bound() const { return hint.bound == 0 ? maximum_running : hint.bound; }
    bool eligible() const { return in_service && !leaving && link_up; }
    /// Weight of the hint relative to the mean of the service, in [0, 1].
    double hint_weight(base::time_point now, routing_policy const& policy) const;
    /// Number of running and queued requests of other entries at the time of the hint.
    double other_requests_at_hint() const;
    /// Maximum number of the entry's outstanding requests that the ramp permits.
    std::uint32_t ramp_limit(base::time_point now, routing_policy const& policy) const;

    void observe_duration(base::duration elapsed);
    void start_ramp(ramp_kind kind, base::time_point now);
    void set_hint(load_hint const& value, base::time_point now);
    void eject(base::time_point now, routing_policy const& policy);
    void end_ejection(base::time_point now);
    /// Whether the link went down or attempts failed within the partition window.
    bool recently_unreachable(base::time_point now, routing_policy const& policy) const;
    /// Copies the state that an earlier table learned about the same target. Attributes from the catalogue are kept.
    void copy_learned_state(target_state const& earlier, base::time_point now);
};

} // namespace cyclamenledge::routing
