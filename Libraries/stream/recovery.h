#pragma once

#include "base/error.h"

#include <cstdint>
#include <string_view>

namespace cyclamenledge::stream {

/// The state of the generation at the agent when its stream to the entry breaks.
enum class generation_state : std::uint8_t { never_admitted, running, lost };

enum class recovery_action : std::uint8_t { resume, rerun, fail };

std::string_view name_of(recovery_action action);

/// The inputs of decide_recovery().
struct recovery_input {
    generation_state generation{generation_state::running};
    /// Tokens sent to the caller. After the first one only the same generation may continue, because another generation
    /// has other tokens.
    std::uint64_t tokens_sent{0};
    bool caller_present{true};
    bool deadline_passed{false};
    /// The fingerprint of the request has two recorded crashes.
    bool is_poison{false};
    /// The retry budget allows one more attempt.
    bool budget_available{true};
    bool other_target_available{true};
};

struct recovery_decision {
    recovery_action action{recovery_action::fail};
    /// The error to send to the caller. Valid for `fail`.
    base::error_kind failure{base::error_kind::internal};
};

/// Decides whether to resume the same generation, run the request again at another target, or end the stream with an
/// error.
recovery_decision decide_recovery(recovery_input const& state);

} // namespace cyclamenledge::stream
