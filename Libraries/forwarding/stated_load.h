#pragma once

#include <cstdint>
#include <optional>

namespace cyclamenledge::forwarding {

/// Load that a target states in an answer.
struct stated_load {
    std::uint32_t running{0};
    /// Requests in the target's own queue.
    std::uint32_t waiting{0};
    /// Requests that the target runs at the same time, at least 1.
    std::uint32_t slots{1};
    /// How long work takes at the moment in relation to the nominal speed. Empty if the target does not state it.
    std::optional<double> pace;
};

} // namespace cyclamenledge::forwarding
