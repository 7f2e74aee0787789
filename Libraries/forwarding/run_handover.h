#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenledge::forwarding {

/// What a call that stops a run at its target has shown.
enum class stop_outcome : std::uint8_t {
    /// The run has stopped, and all of its memory is at the destination.
    moved,
    /// The run has stopped. The destination has no room, and the target keeps the memory.
    kept,
    /// The target does not run the request now. It may wait in the target's queue.
    not_running,
    /// The target's process has ended.
    ended,
    /// The target has neither the run nor a request that waits.
    gone,
    /// The target did not answer.
    unreachable,
    /// The target did not take the call, or it may not be called now. The run may go on.
    not_stopped,
};
inline constexpr std::size_t stop_outcome_count = static_cast<std::size_t>(stop_outcome::not_stopped) + 1;

std::string_view name_of(stop_outcome outcome);

/// Whether the calls that were to stop a run have stopped it.
enum class stop_effect : std::uint8_t {
    /// No call was sent, or each was refused.
    none,
    /// The answer to a call was lost, or did not come in time.
    possible,
    certain,
};
inline constexpr std::size_t stop_effect_count = static_cast<std::size_t>(stop_effect::certain) + 1;

std::string_view name_of(stop_effect effect);

/// The effect of calls with the given outcome. Their answers are uncertain if one of them was lost or did not come in
/// time: a run that was stopped by it is not running for the next one.
stop_effect effect_of(stop_outcome outcome, bool answers_uncertain);

/// The run of a stream that is to go on elsewhere.
enum class run_condition : std::uint8_t {
    /// It makes events, and its target is about to end.
    leaving,
    /// It makes no events.
    stalled,
    /// Its connection was lost or closed, which most targets notice, but not all.
    lost,
};
inline constexpr std::size_t run_condition_count = static_cast<std::size_t>(run_condition::lost) + 1;

std::string_view name_of(run_condition condition);

/// Where a stream can go on from the memory of a run.
enum class memory_place : std::uint8_t {
    /// From what the stopping call copied to the destination.
    destination,
    /// From what the stopped target keeps.
    source,
    /// From a replica or a copy that was made before.
    earlier_copy,
};

/// Where a stream may go on, the best place first. Empty while the run may still be at work at a target that can be
/// reached, so that no two targets ever work on one stream.
std::span<memory_place const> places_to_go_on(stop_outcome outcome, run_condition condition);

} // namespace cyclamenledge::forwarding
