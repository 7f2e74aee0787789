#include "retry/backoff.h"

#include <algorithm>

namespace cyclamenledge::retry {

base::duration backoff::delay(std::uint32_t attempt, base::random_source& random) const {
    // Twenty doublings exceed every limit in use and keep the shift in range.
    auto const doublings = std::min(attempt == 0 ? 0U : attempt - 1, 20U);
    auto const longest = std::min(first_ * (std::int64_t{1} << doublings), limit_);
    return base::from_seconds(base::to_seconds(longest) * random.unit());
}

} // namespace cyclamenledge::retry
