#pragma once

#include "base/guarded.h"
#include "limits/credit_issuer.h"
#include "limits/organisation_limiter.h"

#include <optional>

namespace cyclamenledge::entry {

/// Both sides of the organisation limits: what this entry may spend and what it issues as the home entry.
struct limit_state {
    std::optional<limits::organisation_limiter> limiter;
    std::optional<limits::credit_issuer> issuer;
};

using guarded_limits = base::guarded<limit_state, base::lock_rank::limits>;

} // namespace cyclamenledge::entry
