#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::catalogue {

enum class service_kind : std::uint8_t { generation, plain };

/// Whether a call may be repeated without a second effect.
enum class call_semantics : std::uint8_t { idempotent, non_idempotent };

/// The semantics of the calls of one method below one path. The first rule that matches applies.
struct call_rule {
    std::string method;
    std::string path_prefix;
    call_semantics semantics{call_semantics::non_idempotent};
};

/// The targets that own keys from a point in time on. Key owners are published, so every process derives the same
/// owner.
struct key_owner_set {
    base::wall_time from{};
    std::vector<std::string> targets;
};

/// What the targets of a generation service should have loaded.
struct model_placement {
    std::string model;
    std::string version;
    std::vector<std::string> adapters;
    /// Targets that stay warm whatever the demand.
    std::uint32_t minimum_warm{1};
};

/// A service that callers name: a model with its engines, or a plain service.
struct service {
    std::string name;
    std::string owner;
    service_kind kind{service_kind::generation};
    /// Generation services only.
    model_placement placement;
    /// Output length assumed before any has been seen, in tokens.
    std::uint32_t default_output_tokens{256};
    /// Plain services only.
    std::vector<call_rule> call_rules;
    std::vector<key_owner_set> key_owners;
    base::seconds key_lifetime{86400};
};

} // namespace cyclamenledge::catalogue
