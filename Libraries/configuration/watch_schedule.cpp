#include "configuration/watch_schedule.h"

#include <algorithm>

namespace cyclamenledge::configuration {

namespace {

/// A long poll that ends sooner without news was not held by the service, as when the service is stale.
constexpr base::seconds held_at_least{5};
/// Doubling stops here; 0.5 s << 6 exceeds the largest back-off.
constexpr std::uint32_t largest_exponent = 6;

} // namespace

watch_schedule::watch_schedule(std::uint64_t seed, base::time_point now)
    : random_(seed)
    , next_(now + base::from_seconds(random_.unit() * base::to_seconds(start_jitter))) {}

std::optional<read_kind> watch_schedule::poll(base::time_point now) {
    if (now < next_)
        return std::nullopt;
    if (open_) {
        on_outcome(read_outcome::failed, now);
        return std::nullopt;
    }
    // The first read is a plain one, because the process doesn't know yet what to wait for.
    open_ = watcher_ && started_ ? read_kind::long_poll : read_kind::plain;
    open_since_ = now;
    next_ = now + (open_ == read_kind::long_poll ? base::duration{long_poll_limit} : base::duration{read_limit});
    return open_;
}

void watch_schedule::on_outcome(read_outcome outcome, base::time_point now) {
    if (!open_)
        return;
    auto const held = open_ == read_kind::long_poll && now - open_since_ >= held_at_least;
    auto const first = !started_;
    open_.reset();
    started_ = started_ || outcome != read_outcome::failed;
    if (outcome == read_outcome::failed || (watcher_ && outcome == read_outcome::not_newer && !held && !first)) {
        next_ = now + back_off();
        return;
    }
    failures_ = 0;
    next_ = now + (watcher_ ? base::duration::zero() : jittered(safety_interval));
}

void watch_schedule::on_peer_configuration(base::time_point now) {
    if (started_)
        return;
    started_ = true;
    if (!open_ && !watcher_)
        next_ = now + jittered(safety_interval);
}

void watch_schedule::set_watcher(bool watcher, base::time_point now) {
    if (watcher == watcher_)
        return;
    watcher_ = watcher;
    // A new watcher starts within the start jitter; a former one goes back to the slow poll.
    if (!open_ && started_)
        next_ = now + (watcher ? base::from_seconds(random_.unit()) : jittered(safety_interval));
}

base::duration watch_schedule::jittered(base::duration mean) {
    return base::from_seconds(base::to_seconds(mean) * (0.75 + 0.5 * random_.unit()));
}

base::duration watch_schedule::back_off() {
    auto const doubled = first_back_off * (1U << std::min(failures_, largest_exponent));
    ++failures_;
    auto const bound = std::min<base::duration>(doubled, largest_back_off);
    // At least a tenth of the bound, so that full jitter never leads to a read at once.
    return base::from_seconds(base::to_seconds(bound) * (0.1 + 0.9 * random_.unit()));
}

} // namespace cyclamenledge::configuration
