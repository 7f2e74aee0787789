#include "admission/warmup_limit.h"

#include <algorithm>
#include <bit>

namespace cyclamenledge::admission {

warmup_limit::warmup_limit(warmup_parameters const& parameters)
    : parameters_(parameters)
    , bound_(std::min(parameters.floor, parameters.maximum))
    , interval_bound_(bound_) {}

void warmup_limit::reset(base::time_point now) {
    bound_ = std::min(parameters_.floor, parameters_.maximum);
    interval_bound_ = bound_;
    interval_start_ = now;
    gap_jumps_ = 0;
}

void warmup_limit::on_success(base::time_point now) {
    if (now >= interval_start_ + parameters_.interval) {
        interval_bound_ = bound_;
        interval_start_ = now;
    }
    bound_ = std::min({bound_ + 1, interval_bound_ * 2, parameters_.maximum});
}

void warmup_limit::on_gap(base::duration gap, std::uint32_t running, base::time_point now) {
    auto const seconds = base::to_seconds(gap);
    auto& typical_gap = typical_gap_[std::min<std::size_t>(load_levels - 1, std::bit_width(running))];
    if (typical_gap > 0 && seconds > parameters_.gap_jump * typical_gap && running <= bound_ / 2) {
        if (now != last_jump_at_)
            ++gap_jumps_;
        last_jump_at_ = now;
        if (gap_jumps_ >= parameters_.required_jumps)
            reset(now);
        return;
    }
    gap_jumps_ = 0;
    constexpr double weight = 0.02;
    typical_gap = typical_gap > 0 ? typical_gap + weight * (seconds - typical_gap) : seconds;
}

bool warmup_limit::on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now) {
    auto const had_incarnation = incarnation_ != 0;
    auto const changed = had_incarnation && (id != incarnation_ || uptime < uptime_);
    incarnation_ = id;
    uptime_ = uptime;
    if (changed || !had_incarnation)
        reset(now);
    return changed;
}

} // namespace cyclamenledge::admission
