#pragma once

#include "base/time.h"
#include "catalogue/catalogue.h"
#include "orders/demand_filter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::orders {

/// No target goes cold until the catalogue in force has been the same for this long. Dissemination takes up to 3 s, and
/// agents with different revisions could otherwise rely on each other.
inline constexpr base::seconds revision_settle_time{10};
/// Reports that are older don't count. Heartbeats come every second.
inline constexpr base::seconds report_lifetime{3};
/// A cold target beyond the wanted number loads when those before it have left a gap for this long.
inline constexpr base::seconds stand_in_delay{60};
/// One in this many targets, and at least one, may be cold during a change of version.
inline constexpr std::uint32_t rollout_divisor = 8;

/// What an engine has loaded.
struct loaded_model {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    /// Loaded and serving.
    bool warm{false};
};

/// What a target reports about itself.
struct target_report {
    std::string target;
    loaded_model loaded;
    base::time_point received{};
};

enum class placement_action : std::uint8_t { keep, load, load_adapters, unload };

std::string_view name_of(placement_action action);

/// The order for one target. The model is meaningful for `load` and `load_adapters`.
struct placement_decision {
    placement_action action{placement_action::keep};
    catalogue::model_placement placement{};
};

/// Mechanisms that only mutation checks in tests switch off.
struct placement_switches {
    bool protect_warm{true};
    bool await_settled_revision{true};
};

/// Decides what one target should have loaded. Every agent decides for its own target from the same published data.
///
/// The warm targets of a service have one total order: those with the wanted version first, then rendezvous order. A
/// target goes cold, to unload or to change its version, only while enough warm targets stand before it. The first warm
/// target therefore never goes cold, however old the reports are that the others act on.
class placement {
public:
    explicit placement(std::string own_target, placement_switches switches = {});

    /// `needed` is the number of warm targets that the demand seen requires.
    placement_decision decide(catalogue::catalogue const& published, loaded_model const& own,
                              std::vector<target_report> const& others, std::uint32_t needed, base::time_point now);

private:
    struct standing {
        /// In-service targets of the service.
        std::uint32_t targets{0};
        /// In-service targets before the own one in rendezvous order.
        std::uint32_t rank{0};
        /// Warm targets, and those before the own one in the order of going cold.
        std::uint32_t warm{0};
        std::uint32_t warm_before{0};
    };

    standing stand(catalogue::catalogue const& published, catalogue::service const& service, loaded_model const& own,
                   std::vector<target_report> const& others, base::time_point now) const;
    bool may_go_cold(standing const& seen, std::uint32_t wanted, base::time_point now) const;
    bool stands_in(standing const& seen, std::uint32_t wanted, base::time_point now);
    void note_revision(std::uint64_t revision, base::time_point now);

    std::string own_target_;
    placement_switches switches_;
    demand_filter demand_;
    std::uint64_t revision_{0};
    std::optional<base::time_point> revision_since_;
    std::optional<base::time_point> gap_since_;
};

} // namespace cyclamenledge::orders
