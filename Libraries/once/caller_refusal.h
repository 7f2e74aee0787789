#pragma once

#include "base/error.h"

namespace cyclamenledge::once {

/// What an entry answers when it refuses a keyed call.
///
/// Of all refusals only key_sealed and key_reused of an agent, and a key that cannot be parsed, concern every attempt
/// of the key. All others concern one attempt: another entry or an earlier owner may have run the key, or may still run
/// it. They become outcome_unknown, and the message names the cause.
base::error caller_refusal(base::error const& cause);

} // namespace cyclamenledge::once
