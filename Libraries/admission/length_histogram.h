#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cyclamenledge::admission {

/// Log-scaled histogram of output lengths with ageing: exact up to 7 tokens, then four buckets per power of two.
class length_histogram {
public:
    /// Adds a length. The counts are halved when the histogram holds halve_at observations; 0 never halves them.
    void observe(std::uint32_t length, std::uint32_t halve_at);
    /// Number of observations after ageing.
    double observations() const { return static_cast<double>(total_) / unit; }
    /// The q-quantile of the lengths greater than `above`; no value when fewer than `minimum` observations are greater.
    std::optional<double> quantile_above(std::uint32_t above, double q, double minimum) const;

private:
    /// Units per observation. A single observation stays above zero over several halvings.
    static constexpr std::uint16_t unit = 16;
    static constexpr std::size_t bucket_count = 76;

    static std::size_t bucket_of(std::uint32_t length);
    static double lower_edge(std::size_t bucket);

    std::array<std::uint16_t, bucket_count> counts_{};
    std::uint32_t total_{0};
};

} // namespace cyclamenledge::admission
