#pragma once

#include "retry/attempt_state.h"
#include "retry/retry_budget.h"

namespace cyclamenledge::retry {

/// Maximum number of attempts per request, regardless of the retry budget. A request that fails at four targets is
/// likely the cause of the failures.
inline constexpr std::uint32_t maximum_attempts = 4;

/// Decides whether another attempt is safe. A non-idempotent call that was sent is never repeated: its key is queried,
/// or, if the agent states that the call did not run, the agent's refusal is passed on.
retry_verdict may_retry(attempt_state const& state, base::time_point now);

/// Same decision, but also charges the attempt to the budget and gives up if the budget is used up. Every retry and
/// every rerun is decided by this function.
retry_verdict may_retry(attempt_state const& state, retry_budget& budget, base::time_point now);

} // namespace cyclamenledge::retry
