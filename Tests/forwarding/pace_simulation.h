#pragma once

#include <cstdint>
#include <string>

namespace cyclamenledge::tests {

struct pace_simulation_options {
    std::uint64_t seed{1};
    bool follow{true};
};

struct stream_figures {
    int finished{0};
    /// First event after the objective.
    int late{0};
    /// A pause beyond the objective.
    int paused{0};
    int on_time{0};

    double share() const { return finished == 0 ? 0 : static_cast<double>(on_time) / finished; }
};

struct pace_simulation_figures {
    stream_figures long_streams;
    stream_figures short_streams;
    /// Long streams that were placed at an engine that the entry knew to have pace 1.7 while a faster one had room.
    int long_at_risk_with_room_elsewhere{0};

    std::string text() const;
};

/// Simulates six entries and twelve engines of pace 0.7, 0.7 and 1.7 with slow phases, at the load per engine of the
/// second customer in docs/design/overload-and-uneven-targets.md, in virtual time. The decisions are those of
/// fleet_view, reservation_ledger and engine_pace.
pace_simulation_figures simulate_paces(pace_simulation_options const& options);

} // namespace cyclamenledge::tests
