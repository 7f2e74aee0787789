#pragma once

#include "forwarding/stop_judgement.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cyclamenledge::forwarding {

/// The incarnation that began an answer, as far as it is known after its connection has ended.
enum class incarnation_state : std::uint8_t {
    /// The process runs on.
    running,
    /// The process has ended, or another incarnation has its address.
    ended,
    /// It could not be asked.
    unknown,
};
inline constexpr std::size_t incarnation_state_count = static_cast<std::size_t>(incarnation_state::unknown) + 1;

std::string_view name_of(incarnation_state state);

/// The state of the incarnation of which the evidence is.
incarnation_state state_shown_by(run_evidence evidence);

/// Whether the end of its connection ends an answer that has neither a length nor chunks. The connections of a process
/// that is killed end in the same way, and so does that of a run which the target has stopped.
bool ends_whole_answer(incarnation_state state, stop_effect stopped);

} // namespace cyclamenledge::forwarding
