#pragma once

#include "base/error.h"
#include "base/name_table.h"
#include "catalogue/service_class.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamenledge::routing {

/// Why a candidate was not chosen.
enum class skip_reason : std::uint8_t {
    chosen,
    excluded,
    out_of_service,
    leaving,
    link_down,
    ejected,
    ramping,
    region_not_allowed,
    full,
    not_sampled,
    higher_cost,
};
inline constexpr base::name_table<skip_reason, 11> skip_reason_names{
    base::make_names({"chosen", "excluded", "out_of_service", "leaving", "link_down", "ejected", "ramping",
                      "region_not_allowed", "full", "not_sampled", "higher_cost"})};

/// The rule by which a target was chosen.
enum class choice_rule : std::uint8_t { none, two_choices, prefix_affinity, probe, all_ejected };
inline constexpr base::name_table<choice_rule, 5> choice_rule_names{
    base::make_names({"none", "two_choices", "prefix_affinity", "probe", "all_ejected"})};

/// Load of a target, reported in its heartbeat.
struct load_hint {
    std::uint32_t running{0};
    std::uint32_t queued{0};
    /// Current concurrency limit of the target: the warm-up bound while the target is cold. Zero when not reported.
    std::uint32_t bound{0};
    /// Identifies one run of the engine. A new value means that the engine restarted and is cold.
    std::uint64_t incarnation{0};
};

struct route_request {
    std::string_view service;
    catalogue::region_crossing crossing{catalogue::region_crossing::when_full};
    /// Hash of the first part of the prompt, zero for none.
    std::uint64_t prefix{0};
    /// Targets that earlier attempts of this request have used.
    std::span<std::string_view const> excluded{};
    /// Whether the decision lists all candidates with the reasons for which they were not chosen.
    bool explain{false};
};

struct considered_candidate {
    std::string_view target;
    skip_reason reason{skip_reason::not_sampled};
    double expected_milliseconds{0};
};

/// Names in the decision refer to the catalogue of the table and are valid during the lifetime of the table.
struct route_decision {
    std::string_view target;
    choice_rule rule{choice_rule::none};
    bool crosses_region{false};
    /// Set when no target was chosen.
    std::optional<base::error_kind> refusal;
    /// Filled only if the request asks for an explanation.
    std::vector<considered_candidate> considered;
};

} // namespace cyclamenledge::routing
