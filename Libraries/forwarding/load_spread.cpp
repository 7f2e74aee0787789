#include "forwarding/load_spread.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cyclamenledge::forwarding {

namespace {

// Keeps the rates finite at a target of any size.
constexpr double lowest_added = 1e-6;

using candidate_list = std::vector<spread_candidate const*>;

candidate_list select(std::span<spread_candidate const> candidates, bool far) {
    candidate_list list;
    for (auto const& item : candidates) {
        if (item.far == far)
            list.push_back(&item);
    }
    return list;
}

double capacity_of(candidate_list const& list) {
    double sum = 0;
    for (auto const* item : list)
        sum += 1 / std::max(item->added, lowest_added);
    return sum;
}

/// Requests a second that fill the target by one unit of load in the time since its report.
double fill_rate(spread_candidate const& item) {
    auto const age = std::max<base::duration>(item.age, load_spread::lowest_age);
    return 1 / (std::max(item.added, lowest_added) * base::to_seconds(age));
}

/// The level to which requests at the given rate fill the targets. The list must not be empty.
double find_fill_level(candidate_list order, double per_second) {
    std::ranges::sort(order, {}, &spread_candidate::level);
    double rates = 0;
    double weighted = 0;
    double level = 0;
    for (auto const* item : order) {
        // Targets above the level get nothing.
        if (rates > 0 && item->level >= level)
            break;
        rates += fill_rate(*item);
        weighted += fill_rate(*item) * item->level;
        level = (per_second + weighted) / rates;
    }
    return level;
}

spread_candidate const* draw(candidate_list const& list, double per_second, base::random_source& random) {
    auto const level = find_fill_level(list, per_second);
    auto left = random.unit() * per_second;
    for (auto const* item : list) {
        auto const part = std::max(0.0, level - item->level) * fill_rate(*item);
        if (left < part)
            return item;
        left -= part;
    }
    // Rounding left a remainder.
    return *std::ranges::min_element(list, {}, &spread_candidate::level);
}

} // namespace

std::size_t load_spread::pick(std::span<spread_candidate const> candidates, std::optional<std::uint32_t> entries,
                              base::time_point now, base::random_source& random) const {
    auto list = select(candidates, false);
    auto const far = select(candidates, true);
    auto const near_share = capacity_of(list) / (capacity_of(list) + capacity_of(far));
    auto per_second = own_rate(now) * std::max(1U, entries.value_or(1));
    auto const index_of = [&](auto const* item) { return static_cast<std::size_t>(item - candidates.data()); };
    if (!entries) {
        auto const& first = list.empty() ? far : list;
        auto const one = index_of(first[random.below(first.size())]);
        auto const other = random.below(candidates.size());
        return candidates[other].level < candidates[one].level ? other : one;
    }
    bool const near_only = !list.empty() && (far.empty() || find_fill_level(list, per_second * near_share) <=
                                                                find_fill_level(far, per_second * (1 - near_share)));
    if (near_only)
        per_second *= near_share;
    else
        list.insert(list.end(), far.begin(), far.end());
    return index_of(draw(list, per_second, random));
}

void load_spread::on_placed(base::time_point now) {
    if (!first_at_)
        first_at_ = now;
    counted_ = 1 + counted_ * std::exp(-base::to_seconds(now - counted_at_) / base::to_seconds(rate_time));
    counted_at_ = now;
}

double load_spread::own_rate(base::time_point now) const {
    auto const time = base::to_seconds(rate_time);
    auto const observed = first_at_ ? base::to_seconds(now - *first_at_) : 0;
    auto const count = first_at_ ? counted_ * std::exp(-base::to_seconds(now - counted_at_) / time) : 0;
    return (1 + count) / std::max(base::to_seconds(shortest_observation), time * (1 - std::exp(-observed / time)));
}

} // namespace cyclamenledge::forwarding
