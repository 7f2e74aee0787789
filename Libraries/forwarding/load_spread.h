#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace cyclamenledge::forwarding {

/// A target among which a request is placed.
struct spread_candidate {
    /// Load as a share of the target's capacity, with its distance and failure share. Lower is better.
    double level{0};
    /// Part of level that one more request of the kind at hand adds. Above zero; smaller for a larger target.
    double added{0};
    /// Age of the report behind the load. Zero if the load is this entry's own count, which is never out of date.
    base::duration age{};
    /// The target is in another region than the entry.
    bool far{false};
};

/// Spreads the requests of one service over its targets, of which several entries choose at once from old reports. It
/// draws each target with the probability at which the arrivals of all entries since the target's report would have
/// filled it to the level that all drawn targets share (interpretation of stale load, Dahlin 1999). The older the
/// reports and the higher the rate, the more equal are the probabilities; with fresh reports the lowest level wins.
/// Far targets are drawn only while the near ones fill to a higher level than the far ones, distance included: the
/// entries of each region are taken to use the targets there.
class load_spread {
public:
    /// Time over which the entry's own placements are averaged. One entry of thirty places about two requests a second
    /// of a large service, so that a shorter time would count too few.
    static constexpr base::milliseconds rate_time{4000};
    /// Time that an entry is taken to have observed when it starts. A rate that is too high spreads too widely, but one
    /// that is too low sends the requests of all entries that restarted to one target.
    static constexpr base::milliseconds shortest_observation{250};
    /// Shortest age that is reckoned with: a placement takes as long to show at a target of another failure domain.
    static constexpr base::milliseconds lowest_age{1};

    /// Index of the target for the next request. The candidates must not be empty. Without a number of entries, the
    /// better of two random candidates, of which one is near.
    std::size_t pick(std::span<spread_candidate const> candidates, std::optional<std::uint32_t> entries,
                     base::time_point now, base::random_source& random) const;
    /// Counts a placement of this entry.
    void on_placed(base::time_point now);
    /// Placements a second of this entry, including the one that is about to be made.
    double own_rate(base::time_point now) const;

private:
    double counted_{0};
    base::time_point counted_at_{};
    std::optional<base::time_point> first_at_;
};

} // namespace cyclamenledge::forwarding
