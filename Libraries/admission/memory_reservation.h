#pragma once

#include <cmath>
#include <cstdint>

namespace cyclamenledge::admission {

/// Memory in tokens that is reserved for the final length of a stream.
struct memory_reservation {
    /// Held tokens plus the median of the remaining tokens.
    std::uint64_t expected{0};
    /// Difference between the memory at the quantile of the class and the expected memory.
    std::uint64_t spread{0};
};

/// Sum of reservations. The lengths of different streams are independent, so the squares of their spreads add up.
class memory_reservation_sum {
public:
    void add(memory_reservation const& reservation) {
        expected_ += reservation.expected;
        spread_ += reservation.spread;
        squared_spread_ += reservation.spread * reservation.spread;
    }

    void remove(memory_reservation const& reservation) {
        expected_ -= reservation.expected;
        spread_ -= reservation.spread;
        squared_spread_ -= reservation.spread * reservation.spread;
    }

    std::uint64_t expected() const { return expected_; }

    /// Memory that all streams together need at the quantile; without pooling, the sum of their individual quantiles.
    std::uint64_t tokens(bool pooled) const {
        if (!pooled)
            return expected_ + spread_;
        return expected_ + static_cast<std::uint64_t>(std::ceil(std::sqrt(static_cast<double>(squared_spread_))));
    }

private:
    std::uint64_t expected_{0};
    std::uint64_t spread_{0};
    std::uint64_t squared_spread_{0};
};

} // namespace cyclamenledge::admission
