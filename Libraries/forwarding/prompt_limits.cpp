#include "forwarding/prompt_limits.h"

namespace cyclamenledge::forwarding {

namespace {

// Engines read urgent prompts first, so that prompts of less urgent requests delay them by one prompt at most.
constexpr prompt_limits urgent_prompt_limits{1.0, base::milliseconds{1000}};

// The rest of the memory admits an urgent prompt, which takes 8% of an engine for half a second, and copies of the
// streams of leaving engines. With 0.85 and a read wait of 350 ms, engines that are loaded to three quarters on a calm
// day kept long streams waiting for 2.6 s (median).
constexpr prompt_limits deferrable_prompt_limits{0.9, base::milliseconds{500}};

} // namespace

prompt_limits const& limits_of(urgency const& urgent) {
    return urgent.deferrable() ? deferrable_prompt_limits : urgent_prompt_limits;
}

} // namespace cyclamenledge::forwarding
