#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace cyclamenledge::retry {

/// Bounds the extra attempts of an entry: retries, reruns of generations and hedges. In every window, extra attempts
/// are at most a tenth of the requests plus the reserve, so a fault of the fleet does not multiply its load.
class retry_budget {
public:
    static constexpr double share_of_requests = 0.1;
    /// Lets an entry with few requests retry at all.
    static constexpr std::uint64_t reserve = 10;
    static constexpr base::seconds window{10};

    /// Counts one request of a caller.
    void deposit(base::time_point now);
    /// Counts one extra attempt if the window has room for it.
    bool try_spend(base::time_point now);
    /// Extra attempts that the window has room for.
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
