#include "configuration/watch_schedule.h"

#include <algorithm>

namespace cyclamenledge::configuration {

namespace {

/// If a long poll ends sooner than this without a newer revision, the service did not wait for one. A stale service
/// does this.
constexpr base::seconds minimum_held_time{5};
/// Bounds the shift below: 0.5 s << 6 exceeds the maximum backoff.
constexpr std::uint32_t maximum_backoff_exponent = 6;

} // namespace

watch_schedule::watch_schedule(std::uint64_t seed, base::time_point now)
    : random_(seed)
    , next_time_(now + base::from_seconds(random_.unit() * base::to_seconds(start_jitter))) {}

std::optional<read_kind> watch_schedule::poll(base::time_point now) {
    if (now < next_time_)
        return std::nullopt;
    if (pending_read_) {
        on_outcome(read_outcome::failed, now);
        return std::nullopt;
    }
    // The first read is a plain one, because there is no revision yet that a long poll could wait to change.
    pending_read_ = watcher_ && startup_done_ ? read_kind::long_poll : read_kind::plain;
    pending_read_since_ = now;
    next_time_ = now + (pending_read_ == read_kind::long_poll ? base::duration{long_poll_timeout}
                                                              : base::duration{read_timeout});
    return pending_read_;
}

void watch_schedule::on_outcome(read_outcome outcome, base::time_point now) {
    if (!pending_read_)
        return;
    auto const held = pending_read_ == read_kind::long_poll && now - pending_read_since_ >= minimum_held_time;
    auto const first = !startup_done_;
    pending_read_.reset();
    startup_done_ = startup_done_ || outcome != read_outcome::failed;
    if (outcome == read_outcome::failed || (watcher_ && outcome == read_outcome::not_newer && !held && !first)) {
        next_time_ = now + next_backoff();
        return;
    }
    failures_ = 0;
    next_time_ = now + (watcher_ ? base::duration::zero() : jittered(periodic_read_interval));
}

void watch_schedule::on_peer_configuration(base::time_point now) {
    if (startup_done_)
        return;
    startup_done_ = true;
    if (!pending_read_ && !watcher_)
        next_time_ = now + jittered(periodic_read_interval);
}

void watch_schedule::set_watcher(bool watcher, base::time_point now) {
    if (watcher == watcher_)
        return;
    watcher_ = watcher;
    // A new watcher reads within one second; a former one returns to periodic reads.
    if (!pending_read_ && startup_done_)
        next_time_ = now + (watcher ? base::from_seconds(random_.unit()) : jittered(periodic_read_interval));
}

base::duration watch_schedule::jittered(base::duration mean) {
    return base::from_seconds(base::to_seconds(mean) * (0.75 + 0.5 * random_.unit()));
}

base::duration watch_schedule::next_backoff() {
    auto const doubled = initial_backoff * (1U << std::min(failures_, maximum_backoff_exponent));
    ++failures_;
    auto const bound = std::min<base::duration>(doubled, maximum_backoff);
    // The wait is at least a tenth of the bound, so that jitter never causes an immediate read.
    return base::from_seconds(base::to_seconds(bound) * (0.1 + 0.9 * random_.unit()));
}

} // namespace cyclamenledge::configuration
