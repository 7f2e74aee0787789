#include "forwarding/target_pace.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cyclamenledge::forwarding {

std::optional<double> limit_pace(double pace) {
    if (!std::isfinite(pace) || pace <= 0)
        return std::nullopt;
    return std::clamp(pace, lowest_pace, highest_pace);
}

bool contradicts_pace(double stated, double known) {
    return std::max(stated / known, known / stated) > largest_pace_difference;
}

void target_pace::observe(double pace, base::time_point now) {
    auto const limited = limit_pace(pace);
    if (!limited)
        return;
    last_at_ = now;
    if (!values_.empty() && now - values_.back().since < slot_length) {
        values_.back().pace = *limited;
        return;
    }
    values_.push_back({now, *limited});
    while (values_.size() > minimum_values && now - values_.front().since > usual_period)
        values_.pop_front();
}

std::optional<base::duration> target_pace::age(base::time_point now) const {
    if (values_.empty())
        return std::nullopt;
    return now - last_at_;
}

std::optional<double> target_pace::usual() const {
    if (values_.empty())
        return std::nullopt;
    std::vector<double> paces(values_.size());
    std::ranges::transform(values_, paces.begin(), &value::pace);
    auto const middle = paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
    std::ranges::nth_element(paces, middle);
    return *middle;
}

std::optional<double> target_pace::present(base::time_point now) const {
    if (values_.empty() || now - last_at_ > present_lifetime)
        return std::nullopt;
    return values_.back().pace;
}

} // namespace cyclamenledge::forwarding
