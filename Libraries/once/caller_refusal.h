#pragma once

#include "base/error.h"

namespace cyclamenledge::once {

/// Returns the error that an entry sends to the caller of a refused keyed call.
///
/// Only an agent's key_sealed and key_reused, and a key that cannot be parsed, apply to every attempt of the key. All
/// other refusals apply to one attempt: the key may have run, or may still run, through another entry or at an earlier
/// owner. They are converted to outcome_unknown with a message that names the cause.
base::error caller_refusal(base::error const& cause);

} // namespace cyclamenledge::once
