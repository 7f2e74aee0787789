#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <string>

namespace cyclamenledge::limits {

/// Duration of the lease of credit. The home entry of an organisation issues credit, and all entries spend it.
inline constexpr base::milliseconds credit_lease{2000};
/// Depth of the issuer's buckets, in time at the rate of the limit. A request that arrives late still receives what has
/// accrued in this time.
inline constexpr base::milliseconds issuer_depth{500};
/// Rate credit can be spent for the rest of the lease, so that the issuer's depth and the unspent credit together cover
/// one lease.
inline constexpr base::milliseconds rate_credit_lifetime = credit_lease - issuer_depth;
/// Shortest time between two requests of an entry for one organisation. Shorter than the issuer's depth, so that no
/// accrued credit is lost.
inline constexpr base::milliseconds request_interval{400};
/// Fraction of a limit that all entries together may use without credit while the home entry is unresponsive.
inline constexpr double fallback_share = 0.1;

/// Amounts of the two resources that are limited per second.
struct rate_amounts {
    double requests{0};
    double tokens{0};
};
inline constexpr std::array<double rate_amounts::*, 2> rate_resources{&rate_amounts::requests, &rate_amounts::tokens};

/// Sent by an entry to the home entry of the organisation.
struct credit_request {
    std::string organisation;
    std::string entry;
    /// Increases with each request of the entry. The grant repeats it.
    std::uint64_t sequence{0};
    rate_amounts demand_per_second;
    /// The credit that the entry asks for.
    rate_amounts requested;
    /// Requests that run or are queued at the entry, and half of the running ones as a reserve for bursts.
    std::uint32_t concurrent{0};
    /// Slots for concurrent requests that the entry holds a lease for or uses.
    std::uint32_t held_slots{0};
};

/// Sent by the home entry in reply to a credit_request.
struct credit_grant {
    std::string organisation;
    std::uint64_t sequence{0};
    rate_amounts credit;
    /// Slots for concurrent requests. Replaces the number of the previous grant.
    std::uint32_t concurrent{0};
    base::milliseconds lease{credit_lease};
};

/// Mechanisms that a mutation test can disable to show that a property depends on them.
enum class mechanism : std::uint8_t { lease_expiry, issuer_bound, fallback_bound, stretch_bound, count };

} // namespace cyclamenledge::limits
