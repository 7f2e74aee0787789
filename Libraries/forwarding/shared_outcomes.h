#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace cyclamenledge::forwarding {

/// Outcome of one granted request at an engine, as its entry or the engine's report states it.
struct granted_outcome {
    /// Connection of the entry that served the request.
    std::uint64_t entry{0};
    bool failed{false};
    base::time_point granted_at{};
};

/// Decides whether an engine fails the requests of several entries, from the outcomes that all entries report to its
/// agent. An engine that fails requests at once looks idle and attracts most of them, and each entry would otherwise
/// have to find that out by its own failures. Failures that a single entry reports do not mark the engine, because some
/// faults concern some callers only. Outcomes are compared by the time of the grant: a request that was admitted before
/// the engine began to fail says nothing about it, even if it succeeds afterwards.
class shared_outcomes {
public:
    /// Consecutive failures, and number of entries that have to report them, that mark an engine.
    static constexpr std::size_t failures_to_mark = 3;
    static constexpr std::size_t entries_to_mark = 2;
    /// An engine is also marked if a greater share of the recent outcomes are failures. It equals the share that
    /// ejects a target at a single entry.
    static constexpr double share_to_mark = 0.55;
    static constexpr std::size_t outcomes_to_judge_share = 6;
    static constexpr base::milliseconds share_window{2000};
    /// The state lasts for the first period, then for doubled ones while failures continue.
    static constexpr base::milliseconds first_period{1000};
    static constexpr base::milliseconds longest_period{8000};
    /// Interval of the requests that are granted as probes while the engine is failing. Each of them may be lost.
    static constexpr base::milliseconds probe_interval{500};

    void record(granted_outcome const& outcome, base::time_point now);
    /// Discards the outcomes of an entry whose connection was closed, so that the entry does not count twice after it
    /// has reconnected.
    void remove_entry(std::uint64_t entry);
    /// A leaving engine fails requests because it stops. Its outcomes do not count.
    void on_leaving();
    /// Ends the state or begins its next period if its time is over. Called at least with each report.
    void advance(base::time_point now);
    bool failing() const { return failing_until_.has_value(); }
    /// Whether the engine was marked and has served no request since.
    bool marked() const { return period_ > base::milliseconds{0}; }
    /// Whether a request may be granted: always while the engine is not failing, otherwise once per probe interval.
    bool admits(base::time_point now) const;
    void on_granted(base::time_point now);
    /// Number of consecutive failures, and of the entries that reported them.
    std::size_t failures_in_row() const { return row_.size(); }
    std::size_t entries_in_row() const;

private:
    struct recent_outcome {
        granted_outcome outcome;
        base::time_point at{};
    };

    void record_success(granted_outcome const& outcome);
    void record_failure(granted_outcome const& outcome, base::time_point now);
    bool share_exceeded() const;
    void begin_period(base::time_point now);
    void reset();

    bool leaving_{false};
    std::deque<recent_outcome> recent_;
    /// The last failures, without a success of a request that was granted later.
    std::deque<granted_outcome> row_;
    base::time_point last_success_granted_{};
    base::time_point last_failure_granted_{};
    std::optional<base::time_point> failing_until_;
    /// Length of the present period, or of the last one if no request has succeeded since. Zero before the first.
    base::milliseconds period_{};
    base::time_point period_began_{};
    bool failed_in_period_{false};
    base::time_point last_probe_{};
};

} // namespace cyclamenledge::forwarding
