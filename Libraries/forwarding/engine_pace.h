#pragma once

#include "base/time.h"
#include "forwarding/engine_report.h"
#include "forwarding/target_pace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding {

/// Pace of one engine in the view of the agent beside it: by what the engine states in the heads of streams, which
/// entries pass on when a stream ends, and by the events that running requests gain between two reports. The measured
/// pace is coarse, since it takes an event to be four tokens.
class engine_pace {
public:
    void observe_report(engine_report const& report, base::time_point now);
    /// Returns false for a pace that is malformed or contradicts the measured one.
    bool observe_stated(double pace, base::time_point now);
    /// Whether an entry has passed on a stated pace, also one that was not used: entries that do so follow paces.
    bool followed() const { return followed_; }
    /// The median of the stated values, or of the measured ones as long as fewer were stated. No value if neither is
    /// known.
    std::optional<double> usual() const;
    /// By the last measurement, in the scale of the usual pace. No value if there is no recent one.
    std::optional<double> present(base::time_point now) const;
    /// Fills in the fields of a report that depend on the pace.
    engine_report complete(engine_report report, base::time_point now) const;

private:
    /// A measurement takes at least this many expected events, so that the count of whole events is right to an eighth.
    static constexpr double minimum_events = 8;
    /// Reports that are further apart do not show how the engine has worked between them.
    static constexpr base::milliseconds longest_interval{400};
    static constexpr double steps_per_event = 4;

    bool contradicts_measurement(double pace, base::time_point now) const;

    bool followed_{false};
    target_pace stated_;
    target_pace measured_;
    std::map<std::string, std::uint32_t> events_;
    base::time_point reported_at_{};
    double expected_{0};
    double gained_{0};
};

} // namespace cyclamenledge::forwarding
