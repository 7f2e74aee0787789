#pragma once

#include <cstdint>

namespace cyclamenledge::forwarding {

/// How sending a request to a target ended.
enum class send_outcome : std::uint8_t {
    /// The target's own answer, success or not.
    answered,
    /// The target states that it did not run the request.
    not_run,
    /// No byte of the request has left.
    not_sent,
    /// The request may have run.
    unknown,
};

/// What is known of an attempt when sending it to one more target has ended.
struct attempt_facts {
    send_outcome outcome{send_outcome::unknown};
    /// An answer of the target that blames the target.
    bool server_error{false};
    /// The route allows a second run.
    bool may_run_again{false};
    /// Targets that may have run the request, this one included.
    std::uint32_t runs{0};
    std::uint32_t maximum_runs{1};
    /// Targets to which nothing could be sent.
    std::uint32_t unsent{0};
};

enum class repetition : std::uint8_t {
    none,
    /// The target saw nothing of the request, so that one more target costs it nothing.
    free,
    /// One more target may be used if the retry allowance of the service permits it.
    on_allowance,
};

enum class final_answer : std::uint8_t {
    /// The target's answer goes to the caller.
    pass_on,
    /// The caller learns that the request has not run and may come again.
    refuse,
    /// The outcome is unknown or bad. Says nothing about whether the request has run.
    fail,
};

/// Targets in a row that cannot be reached before the request is given up.
inline constexpr std::uint32_t most_unsent = 4;

/// Whether the request may be sent to another target.
repetition may_repeat(attempt_facts const& facts);
/// What the caller gets when the request is sent nowhere else. A refusal promises that no target has run it.
final_answer conclude(attempt_facts const& facts);

} // namespace cyclamenledge::forwarding
