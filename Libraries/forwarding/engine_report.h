#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cyclamenledge::forwarding {

/// What the agent beside an engine reads from it.
struct engine_report {
    /// Unix time of the engine's start in milliseconds.
    std::int64_t started_at{0};
    bool leaving{false};
    /// Time until a leaving engine stops, if it says so.
    std::optional<base::milliseconds> leaves_in;
    std::uint32_t running{0};
    std::uint32_t queued{0};
    /// Running requests whose prompt is still being read.
    std::uint32_t reading{0};
    /// Memory that cannot be freed without ending or preempting a request.
    std::uint32_t used_tokens{0};
    std::uint32_t total_tokens{0};
    /// Entries that are connected to the agent.
    std::uint32_t entries{1};
};

} // namespace cyclamenledge::forwarding
