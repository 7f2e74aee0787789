#include "orders/load_pacer.h"

#include "base/hash.h"

#include <algorithm>
#include <cstdint>

namespace cyclamenledge::orders {

load_pacer::load_pacer(base::milliseconds interval)
    : interval_(std::max(interval, base::milliseconds{1})) {}

base::wall_time load_pacer::next_slot(std::string_view own, std::vector<std::string> const& claimants,
                                      base::wall_time now) const {
    constexpr std::string_view key = "weight store";
    auto const own_score = base::rendezvous_score(key, own);
    std::int64_t rank = 0;
    std::int64_t count = 1;
    for (auto const& claimant : claimants) {
        if (claimant == own)
            continue;
        ++count;
        auto const score = base::rendezvous_score(key, claimant);
        rank += score > own_score || (score == own_score && claimant < own) ? 1 : 0;
    }
    auto const cycle = interval_ * count;
    auto const passed = now.time_since_epoch() % cycle;
    auto const offset = interval_ * rank;
    auto const wait = offset >= passed ? offset - passed : offset - passed + cycle;
    return now + wait;
}

} // namespace cyclamenledge::orders
