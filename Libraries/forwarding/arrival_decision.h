#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace cyclamenledge::forwarding {

/// When the engines of a service are expected to have room for a request, as their agents report it.
struct room_outlook {
    /// Engines that may run the request.
    std::size_t engines{0};
    /// Those of them whose agents reported lately when room comes.
    std::size_t informed{0};
    /// Time until the first of them has room.
    base::milliseconds first_room{base::milliseconds::max()};
    /// Requests of this size that get room per second at all engines, for all entries together.
    double per_second{0};
    /// Age of the oldest report that was used.
    base::milliseconds oldest_report{0};

    void add(base::milliseconds room_in, double engine_per_second, base::milliseconds report_age);
};

/// When a request loses its use to its caller.
struct request_limits {
    /// Latest time of placement at which the request meets its latency objective.
    base::time_point on_time_until{};
    /// Latest time of placement at which the caller is still there.
    base::time_point give_up_at{};

    /// How long the request may wait for room. One that can no longer be on time waits only for room that comes soon:
    /// in a burst, later room serves another request on time.
    base::milliseconds useful_wait(base::time_point now) const;
};

enum class arrival_verdict : std::uint8_t {
    /// The request is placed, or waits for room.
    accept,
    /// No engine has room before the request is useless to its caller.
    refuse,
};

/// Decides whether a request that finds no room waits or is refused at once. In a burst, callers whose requests cannot
/// be served in time learn so on arrival and may return, instead of waiting until they give up.
arrival_verdict decide_arrival(room_outlook const& outlook, base::milliseconds useful_for);

} // namespace cyclamenledge::forwarding
