#pragma once

#include <cmath>
#include <cstdint>

namespace cyclamenledge::admission {

/// Memory in tokens that a stream is expected to need in the end.
struct memory_reserve {
    /// Held tokens plus the median of those still to come.
    std::uint64_t expected{0};
    /// From the expected need to the need at the quantile of the class.
    std::uint64_t spread{0};
};

/// Running sum of reserves. The lengths of different streams are independent, so the squares of the spreads add up.
class memory_reserve_sum {
public:
    void add(memory_reserve const& one) {
        expected_ += one.expected;
        spread_ += one.spread;
        squared_spread_ += one.spread * one.spread;
    }

    void remove(memory_reserve const& one) {
        expected_ -= one.expected;
        spread_ -= one.spread;
        squared_spread_ -= one.spread * one.spread;
    }

    std::uint64_t expected() const { return expected_; }

    /// Need of all streams together at the quantile; without pooling, the sum of their needs at the quantile.
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
