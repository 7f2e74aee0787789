#pragma once

#include "catalogue/failure_domain.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::catalogue {

/// Whether a target refuses orders with an old fencing number.
enum class fencing_support : std::uint8_t { checked, ignored };

/// A back end: an engine or one instance of a plain service, with its agent beside it.
struct target {
    std::string name;
    std::string service;
    std::string failure_domain;
    std::string vm;
    /// Where its agent listens, as IP:PORT.
    std::string agent_address;
    service_state state{service_state::in_service};
    fencing_support fencing{fencing_support::ignored};
    /// Key-value cache memory in tokens; generation services only.
    std::uint32_t memory_tokens{0};
    /// Largest number of requests that may run at once.
    std::uint32_t maximum_running{64};
    /// Requests that a target may run right after it has started.
    std::uint32_t warmup_floor{2};

    friend bool operator==(target const&, target const&) = default;
};

} // namespace cyclamenledge::catalogue
