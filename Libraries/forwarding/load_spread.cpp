#include "forwarding/load_spread.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace cyclamenledge::forwarding {

namespace {

std::size_t pick_better_of_two(std::span<spread_candidate const> candidates, base::random_source& random) {
    auto const one = random.below(candidates.size());
    auto const other = random.below(candidates.size());
    return candidates[other].level < candidates[one].level ? other : one;
}

/// Requests a second that fill the target by one unit of load in the time since its report.
double fill_rate(spread_candidate const& item) {
    auto const age = std::max<base::duration>(item.age, load_spread::lowest_age);
    return 1 / (std::max(item.added, 1e-6) * base::to_seconds(age));
}

/// The level to which requests at the given rate fill the candidates. At most the highest level if that is reached.
double find_fill_level(std::span<spread_candidate const> candidates, double per_second) {
    std::vector<spread_candidate const*> order;
    order.reserve(candidates.size());
    for (auto const& item : candidates)
        order.push_back(&item);
    std::ranges::sort(order, {}, [](auto const* item) { return item->level; });
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

} // namespace

std::size_t load_spread::pick(std::span<spread_candidate const> candidates, std::optional<std::uint32_t> entries,
                              base::time_point now, base::random_source& random) const {
    if (!entries)
        return pick_better_of_two(candidates, random);
    auto const per_second = own_rate(now) * std::max(1U, *entries);
    auto const level = find_fill_level(candidates, per_second);
    auto left = random.unit() * per_second;
    std::size_t best = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto const& item = candidates[index];
        if (item.level < candidates[best].level)
            best = index;
        auto const part = std::max(0.0, level - item.level) * fill_rate(item);
        if (left < part)
            return index;
        left -= part;
    }
    // Rounding left a remainder.
    return best;
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
