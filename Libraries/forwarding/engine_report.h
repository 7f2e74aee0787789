#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request for which an engine is generating events.
struct generating_request {
    std::string request;
    /// KV cache size of the request.
    std::uint32_t tokens{0};
    /// Events that the request has generated. Zero if the engine does not list them.
    std::uint32_t events{0};
};

/// Load and capacity of an engine, as read by the agent on its VM.
struct engine_report {
    /// Unix time of the engine's start in milliseconds.
    std::int64_t started_at{0};
    bool leaving{false};
    /// Time until a leaving engine stops, if the engine reports it.
    std::optional<base::milliseconds> leaves_in;
    std::uint32_t running{0};
    std::uint32_t queued{0};
    /// Running requests in the prefill phase (their prompt is still being read).
    std::uint32_t reading{0};
    /// KV cache memory that cannot be freed without ending or preempting a request.
    std::uint32_t used_tokens{0};
    std::uint32_t total_tokens{0};
    /// Part of used_tokens that is occupied by copies of requests and by leases.
    std::uint32_t held_tokens{0};
    /// Filled on agents only; entries receive reports without the list.
    std::vector<generating_request> generating;
    /// Number of entries that are connected to the agent.
    std::uint32_t entries{1};
    /// Prompt tokens that the engine still has to read. The agent computes this field and those below.
    std::uint32_t unread_tokens{0};
    /// Prompt tokens that the engine reads per millisecond (prefill rate) while other requests are running.
    double reading_pace{default_reading_pace};
    /// Memory that the running requests and the reservations are expected to occupy.
    std::uint32_t committed_tokens{0};
    /// Requests of several entries fail at the engine.
    bool failing{false};
    /// Requests that wait at the agent for room, and the memory that they are expected to occupy.
    std::uint32_t waiting{0};
    std::uint32_t waiting_tokens{0};
    /// Time until a request of usual size that arrives now gets room, if it is known.
    std::optional<base::milliseconds> room_in;
    /// How long work takes at the engine in relation to its nominal speed, as a rule and at the time of the report.
    /// Zero if it is not known.
    double pace{0};
    double pace_now{0};

    /// Corresponds to an engine that reads a chunk of 112 tokens in each step of 16 ms.
    static constexpr double default_reading_pace = 7;
};

} // namespace cyclamenledge::forwarding
