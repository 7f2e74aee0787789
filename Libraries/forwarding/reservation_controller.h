#pragma once

#include "base/time.h"
#include "forwarding/engine_report.h"
#include "forwarding/reservation_ledger.h"
#include "forwarding/reservation_queue.h"
#include "forwarding/shared_outcomes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// Answer to a request for a reservation.
struct reservation_answer {
    /// Connection of the entry that asked.
    std::uint64_t entry{0};
    std::string request;
    bool granted{false};
    /// With a refusal: time until the request is expected to get room, if it is known.
    std::optional<base::milliseconds> room_in;
};

/// Grants the capacity of one engine to the requests of all entries. Requests that an entry wants answered immediately
/// are granted by what fits beside the reservations. The others are granted in the order of their urgency, within the
/// limits of their class, and wait for a limited time for room; while the engine fails the requests of several entries,
/// they are refused except for probes. Functions that free capacity return the answers to waiting requests.
class reservation_controller {
public:
    using answers = std::vector<reservation_answer>;

    /// Answers a request without letting it wait. Outcomes and waiting requests are ignored.
    bool grant_immediately(reservation_request requested, engine_report const& latest, base::time_point now);
    /// Answers a request or lets it wait. The answers can include those to other requests.
    answers request(waiting_reservation item, engine_report const& latest, base::time_point now);
    /// The request is no longer at the engine, was never sent there, or need not wait any longer. The outcome is true
    /// if the engine failed it and false if the engine served it.
    answers end(std::uint64_t entry, std::string const& request, std::optional<bool> failed,
                engine_report const& latest, base::time_point now);
    answers remove_entry(std::uint64_t entry, engine_report const& latest, base::time_point now);
    /// Takes in a new report. A new incarnation of the engine begins without reservations and outcomes.
    answers observe(engine_report const& report, base::time_point now);
    /// Refuses requests whose time is over and grants those that fit.
    answers advance(engine_report const& latest, base::time_point now);
    /// When advance has to be called next, apart from the reports.
    std::optional<base::time_point> next_expiry() const { return queue_.next_expiry(); }
    /// Fills in the fields of a report that depend on reservations, outcomes and waiting requests.
    engine_report complete(engine_report report, base::time_point now) const;
    shared_outcomes const& outcomes() const { return outcomes_; }
    std::size_t granted() const { return ledger_.size(); }

private:
    bool try_grant(waiting_reservation const& item, engine_report const& latest, base::time_point now);
    /// Time until the request gets room after those ahead of it.
    std::optional<base::milliseconds> room_in(waiting_reservation const& item, engine_report const& latest,
                                              base::time_point now) const;
    answers refuse(std::vector<waiting_reservation> const& items, engine_report const& latest,
                   base::time_point now) const;

    std::optional<std::int64_t> started_at_;
    reservation_ledger ledger_;
    reservation_queue queue_;
    shared_outcomes outcomes_;
    /// Slots of the engine as stated by the last request that could wait. Zero before the first: until then, nothing
    /// is computed that only entries with overload control use.
    std::uint32_t slots_{0};
};

} // namespace cyclamenledge::forwarding
