#pragma once

#include "base/time.h"

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

/// The most urgent prompts under overload control. The rest of the memory absorbs streams that exceed their estimate.
inline constexpr prompt_limits urgent_prompt_limits{0.95, base::milliseconds{500}};

/// Other prompts under overload control. When 17% of the engines leave at once, the streams of five engines have to fit
/// into each four others of their failure domain. The rest also admits urgent prompts, which take 8% of an engine for
/// half a second, and the reading time that is kept free is that of half an urgent prompt.
inline constexpr prompt_limits deferrable_prompt_limits{0.85, base::milliseconds{350}};

/// Priority 0 is the most urgent.
constexpr prompt_limits const& limits_of(std::uint32_t priority) {
    return priority == 0 ? urgent_prompt_limits : deferrable_prompt_limits;
}

} // namespace cyclamenledge::forwarding
