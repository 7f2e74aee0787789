#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::retry {

/// Wait before an attempt, uniform between zero and a limit that doubles per attempt ("full jitter"), so that attempts
/// after a common fault do not arrive together.
class backoff {
public:
    backoff(base::milliseconds first, base::milliseconds limit)
        : first_(first)
        , limit_(limit) {}

    /// The first retry has attempt number 1.
    base::duration wait(std::uint32_t attempt, base::random_source& random) const;

private:
    base::milliseconds first_;
    base::milliseconds limit_;
};

} // namespace cyclamenledge::retry
