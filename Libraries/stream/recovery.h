#pragma once

#include "base/error.h"

#include <cstdint>
#include <string_view>

namespace cyclamenledge::stream {

/// What is known about the generation when its stream breaks.
enum class generation_state : std::uint8_t { never_admitted, running, lost };

enum class recovery_action : std::uint8_t { resume, rerun, fail };

std::string_view name_of(recovery_action action);

/// Everything that the decision after a broken stream depends on.
struct recovery_state {
    generation_state generation{generation_state::running};
    /// Tokens passed on to the caller. After the first one only the same generation may continue.
    std::uint64_t tokens_sent{0};
    bool caller_present{true};
    bool deadline_passed{false};
    /// Two strikes of the request's fingerprint.
    bool poisonous{false};
    /// The retry budget allows one more attempt.
    bool budget_available{true};
    bool other_target_available{true};
};

struct recovery_decision {
    recovery_action action{recovery_action::fail};
    /// The final answer; meaningful only for `fail`.
    base::error_kind failure{base::error_kind::internal};
};

/// Decides between resuming the same generation, running the request again elsewhere, and ending the stream.
recovery_decision decide_recovery(recovery_state const& state);

} // namespace cyclamenledge::stream
