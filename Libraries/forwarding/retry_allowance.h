#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>

namespace cyclamenledge::forwarding {

/// The bound on sends beyond the first one of each request, over all entries.
struct retry_bound {
    /// Share of a service's requests in a window.
    double share{0.1};
    /// Sends on top of the share in one window.
    double reserve{10};
    base::duration window{base::seconds{10}};
};

/// This entry's part of the bound for one service. Each entry keeps to the share of its own requests and to an equal
/// part of the reserve, so that the sum holds without messages, also during a partition.
class retry_allowance {
public:
    /// Part of the bound that is used; the rest covers requests that the entries count in different windows.
    static constexpr double used_part = 0.75;

    explicit retry_allowance(retry_bound const& bound)
        : bound_(bound) {}

    void count_request(base::time_point now);
    /// Counts one more send if the window has room for it.
    bool try_spend(std::uint32_t entries, base::time_point now);
    /// Counts a send that has to be made in any case, such as one that continues a running stream.
    void spend(base::time_point now);

private:
    void forget(base::time_point now);

    retry_bound bound_;
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> spent_;
};

} // namespace cyclamenledge::forwarding
