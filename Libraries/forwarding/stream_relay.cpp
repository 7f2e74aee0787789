#include "forwarding/stream_relay.h"

#include <utility>

namespace cyclamenledge::forwarding {

run_number stream_relay::start_run() {
    if (passed_any_) {
        active_ = no_run;
        auto const started = start_successor();
        successor_has_copy_ = false;
        return started;
    }
    active_ = next_++;
    active_last_.reset();
    successor_ = no_run;
    return active_;
}

run_number stream_relay::start_successor() {
    successor_ = next_++;
    successor_has_copy_ = true;
    return successor_;
}

bool stream_relay::may_end_stream(run_number run) const {
    if (run == active_)
        return !active_last_ || *active_last_ >= position();
    if (!passed_any_)
        return true;
    return run == successor_ && active_ == no_run && successor_has_copy_;
}

event_verdict stream_relay::on_event(run_number run, std::optional<std::uint64_t> id) {
    if (run != active_ && run != successor_)
        return event_verdict::drop;
    // Without an id, the position of a successor's event in the stream is unknown, as is that of the first event of a
    // stream that is taken up.
    bool const has_to_go_on = run == successor_ || (!passed_any_ && begins_after_ > 0);
    if (!id && has_to_go_on)
        return event_verdict::gap;
    if (id && !passed_any_ && *id > begins_after_ + 1)
        return event_verdict::gap;
    if (id && last_event_ && *id > *last_event_ + 1)
        return event_verdict::gap;
    // The successor takes over with its first event. Waiting until it is ahead would take forever, because both runs
    // generate events at the same rate.
    if (run == successor_) {
        active_ = std::exchange(successor_, no_run);
        active_last_.reset();
    }
    if (id)
        active_last_ = id;
    bool const has_position = last_event_ || begins_after_ > 0;
    if (id && has_position && *id <= position())
        return event_verdict::drop;
    if (id)
        last_event_ = id;
    position_known_ = id.has_value();
    passed_any_ = true;
    return event_verdict::pass_on;
}

end_verdict stream_relay::on_end(run_number run, bool complete) {
    bool const ends_stream = complete && may_end_stream(run);
    if (run == successor_) {
        successor_ = no_run;
        // The end of a successor that has not taken over does not end the stream while another run is active.
        if (active_ != no_run)
            return end_verdict::keep_open;
        return ends_stream ? end_verdict::complete : end_verdict::recover;
    }
    if (run != active_)
        return active_ == no_run && successor_ == no_run ? end_verdict::recover : end_verdict::keep_open;
    active_ = no_run;
    if (ends_stream)
        return end_verdict::complete;
    return successor_ == no_run ? end_verdict::recover : end_verdict::keep_open;
}

} // namespace cyclamenledge::forwarding
