#pragma once

#include "base/time.h"
#include "forwarding/urgency.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

/// How far the prompts of one class may fill an engine.
struct prompt_limits {
    /// Share of the engine's memory that may be committed, with the growth that is expected of its requests.
    double memory_share{1};
    /// Maximum time that the prompt waits until the engine begins to read it. A prompt in the queue of an engine that
    /// stops cannot be moved, and the latency objectives for the first event leave about a second of waiting.
    base::milliseconds read_wait{500};
};

/// Prompts that are answered immediately: those of services without overload control.
inline constexpr prompt_limits immediate_prompt_limits{};

/// Limits of a prompt under overload control.
prompt_limits const& limits_of(urgency const& urgent);

} // namespace cyclamenledge::forwarding
