#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace cyclamenledge::retry {

/// Bounds the extra attempts of an entry: retries, reruns of generations and hedges. In every window, the extra
/// attempts are at most a tenth of the requests plus the reserve, so that a fault of many targets does not multiply
/// their load.
class retry_budget {
public:
    static constexpr double share_of_requests = 0.1;
    /// Extra attempts per window for entries with few requests, which could not retry otherwise.
    static constexpr std::uint64_t reserve = 10;
    static constexpr base::seconds window{10};

    /// Counts a caller's request, which increases the budget of the window.
    void deposit(base::time_point now);
    /// Spends one extra attempt. Returns false if the budget of the window is used up.
    bool try_spend(base::time_point now);
    /// Number of extra attempts that the budget of the window still permits.
    double available(base::time_point now) const;

private:
    struct slot {
        std::int64_t second{-1};
        std::uint64_t requests{0};
        std::uint64_t spent{0};
    };

    static std::int64_t second_of(base::time_point now);
    slot& slot_at(base::time_point now);

    std::array<slot, static_cast<std::size_t>(window.count())> slots_{};
};

} // namespace cyclamenledge::retry
