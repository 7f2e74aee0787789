#pragma once

#include "base/time.h"
#include "forwarding/reservation_ledger.h"
#include "forwarding/urgency.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request for a reservation that waits at the agent for room.
struct waiting_reservation {
    reservation_request requested;
    urgency urgent;
    /// Time of the request's arrival at its entry.
    base::time_point arrived_at{};
    /// Latest time at which the request can still start on time.
    base::time_point on_time_until{};
    /// Time at which the agent refuses the request.
    base::time_point expires_at{};
};

/// Requests that wait beside an engine for room, ordered by urgency, then by whether they can still start on time, then
/// by arrival. Deferrable requests that are late come last: their callers lose little by waiting longer. Late urgent
/// ones keep their place, because they would wait behind a steady stream of less urgent ones until they are given up.
///
/// Room goes to the first request. If entries asked for room repeatedly instead, freed capacity would go to whichever
/// request asks first, and each question would cost a round trip. A request that does not fit holds back those behind
/// it, because a large one would otherwise never get room beside small ones. A deferrable one holds back only
/// deferrable ones, since its class leaves room for the urgent.
class reservation_queue {
public:
    /// Maximum number of waiting requests: more than an engine with 24 slots admits within the time that requests wait.
    static constexpr std::size_t maximum_waiting = 64;

    /// Adds a request, in place of an earlier one with the same id. If too many wait, the last in order is removed and
    /// returned, which may be the new one.
    std::optional<waiting_reservation> add(waiting_reservation item, base::time_point now);
    void remove(std::string const& request);
    /// Removes the requests of an entry whose connection was closed.
    void remove_entry(std::uint64_t entry);
    /// Removes and returns the requests that the function grants, asked in order until one holds back the others.
    std::vector<waiting_reservation> grant(std::function<bool(waiting_reservation const&)> const& try_grant,
                                           base::time_point now);
    /// Removes and returns the requests whose time is over.
    std::vector<waiting_reservation> expire(base::time_point now);
    /// Removes and returns all requests.
    std::vector<waiting_reservation> clear();
    /// Requests that are ordered before the given one, which need not wait itself.
    std::vector<waiting_reservation> ahead_of(waiting_reservation const& item, base::time_point now) const;
    std::optional<base::time_point> next_expiry() const;
    std::vector<waiting_reservation> const& waiting() const { return waiting_; }
    /// Memory that the waiting requests are expected to occupy.
    std::uint32_t memory_tokens() const;

private:
    /// In the order in which the requests were added.
    std::vector<waiting_reservation> waiting_;
};

} // namespace cyclamenledge::forwarding
