#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace cyclamenledge::admission {

/// Parts of the admission decision that tests and the ablation benchmark can turn off.
enum class mechanism : std::uint8_t {
    /// Reservation of the predicted length; without it only the held memory counts.
    length_reservation,
    /// The catalogue's quantile; without it the median is reserved.
    length_quantile,
    /// The quantile of the sum of lengths; without it the sum of the quantiles.
    pooled_spread,
    conditional_tail,
    ageing,
    batch_bound,
    warmup,
    /// The agent's own count; without it a load report replaces it.
    own_count,
    /// Weighted order between classes; without it the queue is first in, first out.
    fair_queue,
    /// Room kept for a class that is kept out while it is below its share.
    share_guard,
    early_refusal,
    /// Bounds and deadlines of the queue.
    queue_bound,
    class_goal,
};
inline constexpr std::size_t mechanism_count = static_cast<std::size_t>(mechanism::class_goal) + 1;

/// The mechanisms that are turned off; empty in production.
class disabled_mechanisms {
public:
    void add(mechanism part) { parts_.set(static_cast<std::size_t>(part)); }
    bool off(mechanism part) const { return parts_.test(static_cast<std::size_t>(part)); }
    bool on(mechanism part) const { return !off(part); }

private:
    std::bitset<mechanism_count> parts_;
};

} // namespace cyclamenledge::admission
