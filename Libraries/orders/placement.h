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

/// No target is unloaded or reloaded until the active catalogue revision has been unchanged for this long.
/// Dissemination takes up to 3 s, and agents with different revisions could otherwise rely on each other's targets.
inline constexpr base::seconds revision_settle_time{10};
/// Older reports are ignored. Heartbeats are sent every second.
inline constexpr base::seconds report_lifetime{3};
/// Time for which warm targets must be missing before a cold target beyond the required rank loads the model. Each
/// further rank waits for another delay.
inline constexpr base::seconds substitution_delay{60};
/// During a change of version, one in this many targets, and at least one, may be cold at the same time.
inline constexpr std::uint32_t rollout_divisor = 8;

/// The model that an engine has loaded.
struct loaded_model {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    /// Whether the model is loaded and serves requests.
    bool warm{false};
};

/// Report of a target about its loaded model.
struct target_report {
    std::string target;
    loaded_model loaded;
    base::time_point received{};
};

enum class placement_action : std::uint8_t { keep, load, load_adapters, unload };

std::string_view name_of(placement_action action);

/// The order for one target. The placement is set for `load` and `load_adapters` only.
struct placement_decision {
    placement_action action{placement_action::keep};
    catalogue::model_placement placement{};
};

/// Mechanisms that only mutation checks in tests disable.
struct placement_mechanisms {
    bool protect_warm{true};
    bool await_settled_revision{true};
};

/// Decides which model one target loads. Each agent decides for its own target from the same published data.
///
/// The warm targets of a service have a total order: targets with the published version first, then by rendezvous
/// score. A target becomes cold, to unload or to change its version, only while enough warm targets precede it. The
/// first warm target therefore never becomes cold, however old the reports are on which the other agents act.
class placement {
public:
    explicit placement(std::string own_target, placement_mechanisms mechanisms = {});

    /// `needed` is the number of warm targets that the observed demand requires.
    placement_decision decide(catalogue::catalogue const& published, loaded_model const& own,
                              std::vector<target_report> const& others, std::uint32_t needed, base::time_point now);

private:
    struct warm_order_position {
        /// Number of in-service targets of the service.
        std::uint32_t targets{0};
        /// Number of in-service targets that precede the own one in rendezvous order.
        std::uint32_t rank{0};
        /// Number of other warm targets, and of those that precede the own one in the order of warm targets.
        std::uint32_t warm{0};
        std::uint32_t warm_before{0};
    };

    warm_order_position locate_in_warm_order(catalogue::catalogue const& published, catalogue::service const& service,
                                             loaded_model const& own, std::vector<target_report> const& others,
                                             base::time_point now) const;
    bool may_become_cold(warm_order_position const& position, std::uint32_t required_warm, base::time_point now) const;
    bool must_substitute(warm_order_position const& position, std::uint32_t required_warm, base::time_point now);
    void record_revision(std::uint64_t revision, base::time_point now);

    std::string own_target_;
    placement_mechanisms mechanisms_;
    demand_filter demand_;
    std::uint64_t revision_{0};
    std::optional<base::time_point> revision_changed_at_;
    std::optional<base::time_point> shortage_since_;
};

} // namespace cyclamenledge::orders
