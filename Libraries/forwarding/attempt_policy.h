#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cyclamenledge::forwarding {

/// Result of sending a request to a target.
enum class send_outcome : std::uint8_t {
    /// The target returned a response, successful or not.
    answered,
    /// The target reported that it did not run the request.
    not_run,
    /// No byte of the request was sent.
    not_sent,
    /// The request may have run.
    unknown,
};

/// State of a request after sending it to a target has ended; input for the retry decision.
struct attempt_facts {
    send_outcome outcome{send_outcome::unknown};
    /// The response reports a server error (a fault of the target, not of the caller).
    bool server_error{false};
    /// The route allows the request to run more than once.
    bool may_run_again{false};
    /// Targets that may have run the request, this one included.
    std::uint32_t runs{0};
    std::uint32_t maximum_runs{1};
    /// Targets to which no byte of the request could be sent.
    std::uint32_t unsent{0};
    /// Targets crashed while they ran requests with the same content, so no further target may receive it.
    bool crashes_targets{false};
};

enum class repetition : std::uint8_t {
    none,
    /// The target received nothing, so trying another target is not charged to the retry budget.
    free,
    /// Another target may be tried if the retry budget of the service permits it.
    on_budget,
};

enum class final_answer : std::uint8_t {
    /// The target's response is returned to the caller.
    pass_on,
    /// The caller is informed that the request did not run and may be sent again.
    refuse,
    /// The outcome is unknown or a failure. The error does not state whether the request ran.
    fail,
};

/// The run of a stream from which the caller waits for an event; input for the decision what to do about a stall.
struct run_facts {
    bool received_event{false};
    /// Another target holds a replica of the run's memory.
    bool has_backup{false};
    /// The policy allows another run at another target.
    bool may_repeat{false};
    base::milliseconds latency_objective{0};
};

enum class stall_action : std::uint8_t {
    /// The run is stopped, and the stream goes on from its memory or from the replica.
    resume_from_backup,
    /// The run is ended for one at another target, as soon as that is certain to be sent.
    replace,
};

struct stall_rule {
    stall_action action{stall_action::replace};
    /// Time without progress after which it applies.
    base::milliseconds after{0};
};

/// Returns what to do about a run that makes no progress. No value if there is nothing to do but wait.
std::optional<stall_rule> rule_for_stall(run_facts const& facts);

/// Resumptions of a stream from copies and replicas that are sent for one run. Each one arrives at a target, whether it
/// is refused or not.
inline constexpr std::uint32_t maximum_resumptions_per_run = 3;

/// Number of unreachable targets after which the request fails.
inline constexpr std::uint32_t maximum_unreachable_targets = 4;

/// Returns whether the request may be sent to another target and whether that is charged to the retry budget.
repetition may_repeat(attempt_facts const& facts);
/// Returns the response for a request that is not sent to another target. A refusal guarantees that no target ran it.
final_answer conclude(attempt_facts const& facts);

} // namespace cyclamenledge::forwarding
