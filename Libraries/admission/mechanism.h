#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace cyclamenledge::admission {

/// Mechanisms of the admission decision that tests and the ablation benchmark can disable.
enum class mechanism : std::uint8_t {
    /// Reserves memory for the predicted length; otherwise only the held memory counts.
    length_reservation,
    /// Reserves the catalogue's quantile of the length; otherwise the median.
    length_quantile,
    /// Reserves a quantile of the sum of all lengths; otherwise the sum of the quantiles.
    pooled_spread,
    /// Predicts the remaining length again while a stream runs.
    conditional_tail,
    /// Halves the counts of the length histograms, so that recent lengths dominate.
    ageing,
    batch_bound,
    warmup,
    /// Uses the agent's own counts; otherwise a load report replaces them.
    own_count,
    /// Weighted fair queueing between classes; otherwise the queue is first in, first out.
    fair_queue,
    /// Keeps room for a class that is blocked while it is below its share.
    share_guard,
    /// Refuses requests whose expected wait exceeds their deadline.
    early_refusal,
    /// Enforces the length limits and deadlines of the queues.
    queue_bound,
    /// Adjusts batch bound and quantile to the goal of the class.
    class_goal,
};
inline constexpr std::size_t mechanism_count = static_cast<std::size_t>(mechanism::class_goal) + 1;

/// The set of disabled mechanisms; empty in production.
class disabled_mechanisms {
public:
    void add(mechanism part) { disabled_.set(static_cast<std::size_t>(part)); }
    bool is_disabled(mechanism part) const { return disabled_.test(static_cast<std::size_t>(part)); }
    bool is_enabled(mechanism part) const { return !is_disabled(part); }

private:
    std::bitset<mechanism_count> disabled_;
};

} // namespace cyclamenledge::admission
