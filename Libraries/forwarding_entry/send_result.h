#pragma once

#include "base/error.h"
#include "forwarding/attempt_policy.h"
#include "http/message.h"

#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding_entry {

using forwarding::send_outcome;

/// Reason of an attempt whose answer is no proof that the request has not run, see platform::answer_metadata.
inline constexpr std::string_view unproven_refusal_reason = "unproven_refusal";

/// The outcome of one attempt at a target.
struct send_result {
    send_outcome outcome{send_outcome::unknown};
    /// Logged with the outcome.
    std::string reason;
    std::optional<http::response> answer;
    /// Whether the target ended the connection before the end of its answer.
    bool connection_lost{false};
    /// Whether the target wants nothing for a time, which is no failure.
    bool held_off{false};

    /// Whether the target may have run the request.
    bool may_have_run() const { return outcome == send_outcome::answered || outcome == send_outcome::unknown; }
    bool server_error() const { return answer && answer->result_int() >= 500; }
};

/// The outcome of an attempt whose answer has the status of a refusal, but does not prove that the request has not run.
inline send_result make_unproven_refusal(bool held_off) {
    return {send_outcome::unknown, std::string{unproven_refusal_reason}, {}, false, held_off};
}

/// The outcome of an attempt that failed while the request was sent or its answer was read.
inline send_result make_unknown_result(base::error const& failure) {
    return {send_outcome::unknown, failure.message, {}, failure.kind == base::error_kind::link_lost, false};
}

} // namespace cyclamenledge::forwarding_entry
