#pragma once

#include "forwarding/engine_report.h"
#include "forwarding/run_handover.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::forwarding {

/// What came of the calls that were to stop a run. The values are those of the wire.
enum class stop_call : std::uint8_t {
    /// The run has stopped, and all of its memory is at the destination.
    moved,
    /// The run has stopped, and the target keeps its memory.
    kept,
    /// The target does not run the request now. It may wait in the target's queue.
    not_running,
    /// The target refused the call, or may not be called now.
    declined,
    /// The connection ended before the answer, or the answer cannot be used.
    unconfirmed,
    /// The target accepted a connection and did not answer in time.
    unanswered,
    /// The target refused new connections, and no other one was open.
    refused,
    /// No connection was established in time.
    out_of_reach,
};
inline constexpr std::size_t stop_call_count = static_cast<std::size_t>(stop_call::out_of_reach) + 1;

std::string_view name_of(stop_call call);
std::optional<stop_call> parse_stop_call(std::uint8_t value);

/// The connection over which the run's events came.
enum class run_connection : std::uint8_t { open, ended };
inline constexpr std::size_t run_connection_count = static_cast<std::size_t>(run_connection::ended) + 1;

std::string_view name_of(run_connection connection);

/// What is known of a run beside the calls that were to stop it, mostly from the agent on the target's VM, which reads
/// a report after it was asked. The values are those of the wire.
enum class run_evidence : std::uint8_t {
    /// No agent is connected, or it has not answered in time.
    none,
    /// The target lists the run.
    working,
    /// The target does not list the run, but has requests that wait or whose prompt it reads. It may be one of them.
    may_wait,
    /// The target has neither the run nor a request that waits.
    not_there,
    /// A newer incarnation has answered the agent.
    replaced,
    /// The agent's own connection to the target has ended unannounced, and the target refuses its new ones.
    process_ended,
    /// The target does not answer its agent.
    unresponsive,
    /// No agent has answered, and the metadata store lists a newer incarnation at the address, which anybody may have
    /// written.
    newer_listing,
};
inline constexpr std::size_t run_evidence_count = static_cast<std::size_t>(run_evidence::newer_listing) + 1;

std::string_view name_of(run_evidence evidence);
/// Empty for values that an agent does not state.
std::optional<run_evidence> parse_stated_evidence(std::uint8_t value);

/// What the report of a target shows of a run that the incarnation with the given start has begun. Without the name of
/// a request, only whether that incarnation runs on, which counts as working.
run_evidence find_evidence(engine_report const& report, std::string_view request, std::int64_t started_at);

/// What a run's end can be concluded from, see docs/design.md. A connection that was refused, reset or closed, silence,
/// and a listing show nothing by themselves; without an agent, a target to which no connection can be had is out of
/// reach.
stop_outcome judge_stop(stop_call call, run_connection connection, run_evidence evidence);

/// Whether the outcome depends on evidence.
bool needs_evidence(stop_call call, run_connection connection);

} // namespace cyclamenledge::forwarding
