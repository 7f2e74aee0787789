#pragma once

#include "base/ranked_mutex.h"
#include "metrics/metric_kind.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace cyclamenledge::metrics {

/// The counters and distributions of one process. All functions may be called from any thread.
class registry {
public:
    registry();
    ~registry();
    registry(registry const&) = delete;
    registry& operator=(registry const&) = delete;

    void add(counter_kind kind, std::uint64_t amount = 1) {
        counters_[static_cast<std::size_t>(kind)].fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value(counter_kind kind) const {
        return counters_[static_cast<std::size_t>(kind)].load(std::memory_order_relaxed);
    }

    void observe(distribution_kind kind, double milliseconds);
    /// The estimated quantile, one of 0.5, 0.95 and 0.99, or zero without observations.
    double quantile(distribution_kind kind, double probability) const;

    /// All metrics in the Prometheus text format.
    std::string prometheus_text() const;

private:
    struct distribution;

    std::array<std::atomic<std::uint64_t>, counter_kind_count> counters_{};
    mutable base::ranked_mutex mutex_{base::lock_rank::metrics};
    std::array<std::unique_ptr<distribution>, distribution_kind_count> distributions_;
};

} // namespace cyclamenledge::metrics
