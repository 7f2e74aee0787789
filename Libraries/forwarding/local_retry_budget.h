#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cyclamenledge::forwarding {

/// Retry budget of a service over all entries: bounds the sends beyond the first one of each request.
struct retry_bound {
    /// Share of a service's requests in a window.
    double share{0.1};
    /// Retries allowed in addition to the share, per window.
    double reserve{10};
    base::duration window{base::seconds{10}};
};

/// Use of an entry's part of a retry budget in the current window, for logs.
struct retry_budget_use {
    std::size_t requests{0};
    std::size_t spent{0};
    double allowed{0};
};

/// This entry's part of the retry budget of one service. Each entry uses at most the share of its own requests and an
/// equal part of the reserve, so that the total bound holds without communication, also during a partition. While the
/// number of entries is not known, the entry has no part of the reserve.
class local_retry_budget {
public:
    /// Share of the bound that is used. The rest covers requests that the entries count in different windows.
    static constexpr double used_part = 0.75;

    local_retry_budget(retry_bound const& bound, base::time_point process_started)
        : bound_(bound)
        , process_started_(process_started) {}

    void count_request(base::time_point now);
    /// Spends one retry if the budget of the current window permits it.
    bool try_spend(std::optional<std::uint32_t> entries, base::time_point now);
    /// Returns a retry that was spent at the given time and has not been sent.
    void give_back(base::time_point spent_at);
    /// Spends a retry that is made regardless of the budget, such as one that continues a running stream.
    void spend(base::time_point now);
    retry_budget_use use(std::optional<std::uint32_t> entries, base::time_point now);

private:
    double allowed(std::optional<std::uint32_t> entries, base::time_point now) const;
    void drop_expired(base::time_point now);
    double reserve_part(std::optional<std::uint32_t> entries, base::time_point now) const;

    retry_bound bound_;
    base::time_point process_started_;
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> spent_;
};

} // namespace cyclamenledge::forwarding
