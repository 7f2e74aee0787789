#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request that makes events at an engine.
struct generating_request {
    std::string request;
    /// Its memory.
    std::uint32_t tokens{0};
};

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
    /// Part of the used memory that belongs to copies of requests and to leases.
    std::uint32_t held_tokens{0};
    /// Only agents have the list.
    std::vector<generating_request> generating;
    /// Entries that are connected to the agent.
    std::uint32_t entries{1};
    /// Prompt tokens that the engine still has to read. This and what follows is counted by the agent.
    std::uint32_t unread_tokens{0};
    /// Prompt tokens that the engine reads in a millisecond beside its running requests.
    double reading_pace{usual_reading_pace};
    /// Memory that the requests are expected to take which the engine runs or was promised.
    std::uint32_t committed_tokens{0};

    /// An engine that reads a chunk of 112 tokens in each step of 16 ms.
    static constexpr double usual_reading_pace = 7;
};

} // namespace cyclamenledge::forwarding
