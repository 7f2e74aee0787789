#pragma once

#include "base/time.h"
#include "routing/route.h"
#include "routing/routing_policy.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::routing {

/// How an attempt at a target ended. A refusal and a cancelled request say nothing about the health of the target.
enum class attempt_outcome : std::uint8_t { success, failure, refused, cancelled };

/// Whether a target that is cold for this entry is released from its ramp by a hint of a warm target.
enum class ramp_kind : std::uint8_t { none, until_warm, timed };

/// Everything that an entry knows about one target.
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
    std::optional<base::time_point> hint_at{};
    std::uint32_t own_at_hint{0};
    std::uint32_t own_outstanding{0};
    /// Mean duration of own successful requests, zero while unknown.
    double mean_seconds{0};

    ramp_kind ramp{ramp_kind::until_warm};
    base::time_point ramp_start{};
    base::duration ramp_delay{};

    std::uint32_t consecutive_failures{0};
    base::time_point last_failure{};
    std::optional<base::time_point> link_lost_at{};
    std::optional<base::time_point> ejected_at{};
    base::time_point probe_at{};
    std::uint32_t ejections{0};
    bool probing{false};

    std::uint32_t bound() const { return hint.bound == 0 ? maximum_running : hint.bound; }
    bool eligible() const { return in_service && !leaving && link_up; }
    /// Weight of the hint against the mean of the service, in [0, 1].
    double hint_weight(base::time_point now, routing_policy const& policy) const;
    /// Requests of other entries at the time of the hint.
    double others_at_hint() const;
    /// Own outstanding requests that the ramp allows.
    std::uint32_t allowance(base::time_point now, routing_policy const& policy) const;

    void observe_duration(base::duration elapsed);
    void start_ramp(ramp_kind kind, base::time_point now);
    void set_hint(load_hint const& value, base::time_point now);
    void eject(base::time_point now, routing_policy const& policy);
    void release(base::time_point now);
    bool vanished(base::time_point now, routing_policy const& policy) const;
    /// Takes over what an earlier table learned about the same target.
    void carry_over(target_state const& earlier, base::time_point now);
};

} // namespace cyclamenledge::routing
