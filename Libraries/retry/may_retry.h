#pragma once

#include "retry/attempt_state.h"
#include "retry/retry_budget.h"

namespace cyclamenledge::retry {

/// Attempts per request, whatever the budget allows; a request that fails at four targets is likely the cause.
inline constexpr std::uint32_t maximum_attempts = 4;

/// Whether another attempt is safe. A non-idempotent call that was sent is never repeated: its key is queried, or the
/// refusal of the agent is passed on when it states that the call did not run.
retry_verdict may_retry(attempt_state const& state, base::time_point now);

/// The same, and pays for the attempt. Every retry and every rerun goes through this function.
retry_verdict may_retry(attempt_state const& state, retry_budget& budget, base::time_point now);

} // namespace cyclamenledge::retry
