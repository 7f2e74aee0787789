#pragma once

#include "base/time.h"

#include <functional>
#include <optional>

namespace cyclamenledge::forwarding {

/// What a target says of itself in an answer, whichever request the answer belongs to.
struct target_notices {
    /// The target is about to stop.
    bool leaving{false};
    /// How long the target wants nothing from this process.
    std::optional<base::milliseconds> hold_off;
};

using notices_handler = std::function<void(target_notices const&)>;

} // namespace cyclamenledge::forwarding
