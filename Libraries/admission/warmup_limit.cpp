#include "admission/warmup_limit.h"

#include <algorithm>
#include <bit>

namespace cyclamenledge::admission {

warmup_limit::warmup_limit(warmup_parameters const& parameters)
    : parameters_(parameters)
    , bound_(std::min(parameters.floor, parameters.maximum))
    , interval_bound_(bound_) {}

void warmup_limit::on_start(base::time_point now) {
    bound_ = std::min(parameters_.floor, parameters_.maximum);
    interval_bound_ = bound_;
    interval_start_ = now;
    jumps_ = 0;
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
    auto& usual = usual_gap_[std::min<std::size_t>(load_levels - 1, std::bit_width(running))];
    if (usual > 0 && seconds > parameters_.gap_jump * usual && running <= bound_ / 2) {
        if (now != last_jump_)
            ++jumps_;
        last_jump_ = now;
        if (jumps_ >= parameters_.jumps_needed)
            on_start(now);
        return;
    }
    jumps_ = 0;
    constexpr double weight = 0.02;
    usual = usual > 0 ? usual + weight * (seconds - usual) : seconds;
}

bool warmup_limit::on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now) {
    auto const known = incarnation_ != 0;
    auto const changed = known && (id != incarnation_ || uptime < uptime_);
    incarnation_ = id;
    uptime_ = uptime;
    if (changed || !known)
        on_start(now);
    return changed;
}

} // namespace cyclamenledge::admission
