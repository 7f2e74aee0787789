#pragma once

#include "base/time.h"
#include "forwarding/target_pace.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

/// A stream and the engine that may run it.
struct pause_facts {
    /// Tokens that the stream is expected to generate.
    std::uint32_t expected_output{0};
    std::uint32_t tokens_per_event{1};
    /// Requests that run at the engine, without this one.
    std::uint32_t running{0};
    /// Zero for none.
    base::milliseconds objective{0};
};

/// How much longer work takes while a machine is in a slow phase.
inline constexpr double slow_phase_factor = 2.5;
/// A stream of at most this many expected tokens is short: it ends before it is likely to meet a slow phase together
/// with a prompt that is read.
inline constexpr std::uint32_t longest_short_output = 64;

/// Longest pause between two events to expect of the stream at an engine of this pace: an event for which every step
/// reads a chunk of another prompt, in a slow phase of the machine or at its present pace.
/// @return milliseconds
double expected_pause(pause_facts const& facts, pace_estimate const& pace);

/// Addition to the score of an engine at which a long stream would exceed the pause objective of its route, and zero
/// otherwise. It exceeds the usual differences of load and distance, so such an engine is used only if no other one has
/// room, and it is below the score of a copy to another failure domain, where a copy takes twice as long.
double pause_penalty(pause_facts const& facts, pace_estimate const& pace);

} // namespace cyclamenledge::forwarding
