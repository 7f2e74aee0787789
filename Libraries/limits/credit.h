#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <string>

namespace cyclamenledge::limits {

/// Credit with a lease. A home entry issues it and other entries spend it.
inline constexpr base::milliseconds credit_lease{2000};
/// An issuer saves up at most this part of a limit, so that asks that arrive late find what has accrued meanwhile.
inline constexpr base::milliseconds issuer_depth{500};
/// Rate credit is spent for the rest of the lease, so that depth and unspent credit are one lease period together.
inline constexpr base::milliseconds rate_credit_lifetime = credit_lease - issuer_depth;
/// Shortest time between two asks of an entry for one organisation. Below the depth, so that nothing accrued is lost.
inline constexpr base::milliseconds ask_interval{400};
/// Part of a limit that all entries together use without credit.
inline constexpr double fallback_share = 0.1;

/// Amounts of the two resources that are limited per second.
struct rate_amounts {
    double requests{0};
    double tokens{0};
};
inline constexpr std::array<double rate_amounts::*, 2> rate_resources{&rate_amounts::requests, &rate_amounts::tokens};

/// From an entry to the home entry of the organisation.
struct credit_request {
    std::string organisation;
    std::string entry;
    /// Grows with each request of the entry; the grant repeats it.
    std::uint64_t sequence{0};
    rate_amounts demand_per_second;
    rate_amounts wanted;
    /// Requests that run or wait at the entry.
    std::uint32_t concurrent{0};
    /// Concurrent requests that the entry holds a lease for.
    std::uint32_t held{0};
};

/// From the home entry to the entry that asked.
struct credit_grant {
    std::string organisation;
    std::uint64_t sequence{0};
    rate_amounts credit;
    /// Replaces the earlier number.
    std::uint32_t concurrent{0};
    base::milliseconds lease{credit_lease};
};

/// Mechanisms that a test can leave out to show that its property depends on them.
enum class mechanism : std::uint8_t { lease_expiry, issuer_bound, fallback_bound, stretch_bound, count };

} // namespace cyclamenledge::limits
