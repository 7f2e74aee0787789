#pragma once

#include <cstdint>
#include <optional>

namespace cyclamenledge::forwarding {

/// Number of a run of a request, counted from 1. Zero is no run.
using run_number = std::uint32_t;
inline constexpr run_number no_run = 0;

/// What to do with an event of a run.
enum class event_verdict : std::uint8_t {
    pass_on,
    /// The caller has it already, or it belongs to a run that was replaced.
    drop,
    /// Events before it are missing, so the run cannot be used.
    gap,
};

/// What to do when a run ended.
enum class end_verdict : std::uint8_t {
    /// The run that fed the caller is complete: the answer ends.
    complete,
    /// Another run feeds the caller or is about to.
    go_on,
    /// No run is left: recover or fail.
    recover,
};

/// Joins the runs of one streamed request so that the caller receives each event once and in order. A run that goes on
/// from the memory of another one is its successor; it takes over with its first event.
class stream_relay {
public:
    /// The first run of the request, or the one that replaces a lost run.
    run_number start_run();
    /// A run that takes over from the active one while that still goes on.
    run_number start_successor();

    event_verdict on_event(run_number run, std::optional<std::uint64_t> id);
    end_verdict on_end(run_number run, bool complete);

    run_number active() const { return active_; }
    run_number successor() const { return successor_; }
    /// The last event that was passed on.
    std::optional<std::uint64_t> last_event() const { return last_event_; }
    bool passed_any() const { return passed_any_; }

private:
    run_number next_{1};
    run_number active_{no_run};
    run_number successor_{no_run};
    std::optional<std::uint64_t> last_event_;
    bool passed_any_{false};
};

} // namespace cyclamenledge::forwarding
