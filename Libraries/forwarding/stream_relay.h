#pragma once

#include <cstdint>
#include <optional>

namespace cyclamenledge::forwarding {

/// Number of a run of a request, starting at 1. Zero means no run.
using run_number = std::uint32_t;
inline constexpr run_number no_run = 0;

/// How to handle an event of a run.
enum class event_verdict : std::uint8_t {
    pass_on,
    /// The caller has received the event already, or the run was replaced.
    drop,
    /// Events before this one are missing, so the run cannot be used.
    gap,
};

/// How to proceed when a run has ended.
enum class end_verdict : std::uint8_t {
    /// The run whose events the caller receives is complete: end the response.
    complete,
    /// Another run provides the caller's events or will take over.
    keep_open,
    /// No run is left: recover or fail.
    recover,
};

/// Merges the runs of one streamed request so that the caller receives each event once and in order. A run that
/// continues from a copy of another run's memory is its successor; it becomes the active run with its first event. So
/// is a run that is started after the first event was passed on: only an event at the right position shows that its
/// target's answer goes on with the stream.
class stream_relay {
public:
    /// For a stream that the caller takes up again after an event, or of which it has nothing (zero). Streams begin
    /// with event 1, or with 0 at targets that count from there.
    explicit stream_relay(std::uint64_t begins_after = 0)
        : begins_after_(begins_after) {}

    /// Starts the first run of the request, or one that replaces a failed run.
    run_number start_run();
    /// Starts a run that will take over from the active one, which makes no event more but may have sent some that have
    /// not arrived.
    run_number start_successor();

    /// The first event that is passed on has to be the one after the position, whichever run it is of.
    event_verdict on_event(run_number run, std::optional<std::uint64_t> id);
    end_verdict on_end(run_number run, bool complete);

    /// Whether the stream is complete if the run ends with a complete answer now. A run that ends before the position
    /// has left events out. Without an event of its own, a run that does not go on from a copy says nothing about a
    /// stream that others have begun.
    bool may_end_stream(run_number run) const;

    run_number active() const { return active_; }
    run_number successor() const { return successor_; }
    /// Id of the last event that the caller has. Zero if it has none.
    std::uint64_t position() const { return last_event_.value_or(begins_after_); }
    bool passed_any() const { return passed_any_; }
    /// Whether another run can go on after what was passed on. It cannot after an event without an id.
    bool can_go_on() const { return !passed_any_ || position_known_; }

private:
    run_number next_{1};
    run_number active_{no_run};
    /// Id of the last event of the active run, whether it was passed on or not.
    std::optional<std::uint64_t> active_last_;
    run_number successor_{no_run};
    bool successor_has_copy_{false};
    std::uint64_t begins_after_;
    /// Id of the last event that was passed on.
    std::optional<std::uint64_t> last_event_;
    bool passed_any_{false};
    /// Whether the last event that was passed on has an id.
    bool position_known_{false};
};

} // namespace cyclamenledge::forwarding
