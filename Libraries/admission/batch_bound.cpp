#include "admission/batch_bound.h"

#include <algorithm>

namespace cyclamenledge::admission {

namespace {

constexpr base::duration adjust_interval = base::milliseconds{500};
/// The share of late gaps is not significant with fewer gaps than this.
constexpr std::uint32_t minimum_gaps = 20;
constexpr double fastest_growth = 1.15;
constexpr double decrease = 0.95;

} // namespace

batch_bound::batch_bound(batch_bound_parameters const& parameters)
    : parameters_(parameters)
    , bound_(std::min(parameters.initial, parameters.maximum)) {}

void batch_bound::configure(batch_bound_parameters const& parameters) {
    parameters_ = parameters;
    bound_ = std::min<double>(bound_, parameters.maximum);
}

void batch_bound::on_gap(base::duration gap, std::uint32_t running, base::time_point now) {
    ++gap_count_;
    gap_sum_ += gap;
    late_gaps_ += gap > parameters_.gap_target ? 1 : 0;
    peak_running_ = std::max(peak_running_, running);
    if (now < interval_start_ + adjust_interval)
        return;
    if (gap_count_ >= minimum_gaps)
        adjust();
    interval_start_ = now;
    gap_sum_ = {};
    gap_count_ = 0;
    late_gaps_ = 0;
    peak_running_ = running;
}

void batch_bound::adjust() {
    auto const late_share = static_cast<double>(late_gaps_) / gap_count_;
    auto const mean = base::to_seconds(gap_sum_) / gap_count_;
    auto const mean_gap_limit = parameters_.headroom * base::to_seconds(parameters_.gap_target);
    if (late_share > parameters_.late_share) {
        bound_ = std::max(1.0, std::min<double>(bound_, peak_running_) * decrease);
    } else if (mean < mean_gap_limit && late_share < parameters_.late_share / 2 && peak_running_ + 1.0 >= bound_) {
        auto const growth = std::min(fastest_growth, 1.0 + (mean_gap_limit / mean - 1.0) / 4);
        bound_ = std::min<double>(parameters_.maximum, bound_ * growth);
    }
}

} // namespace cyclamenledge::admission
