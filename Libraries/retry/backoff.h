#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::retry {

/// Exponential backoff with full jitter: the delay before an attempt is uniform between zero and a limit that doubles
/// with each attempt, so that retries after a common fault are spread over time.
class backoff {
public:
    backoff(base::milliseconds first, base::milliseconds limit)
        : first_(first)
        , limit_(limit) {}

    /// The first retry has attempt number 1.
    base::duration delay(std::uint32_t attempt, base::random_source& random) const;

private:
    base::milliseconds first_;
    base::milliseconds limit_;
};

} // namespace cyclamenledge::retry
