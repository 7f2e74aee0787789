#include "membership/partition_detector.h"

#include <algorithm>

namespace cyclamenledge::membership {

void partition_detector::on_link(std::string_view region, std::string_view peer, bool healthy, base::time_point now) {
    if (region == own_region_)
        return;
    auto& state = regions_[std::string{region}];
    auto& since = state.silent_since[std::string{peer}];
    if (healthy)
        since.reset();
    else if (!since)
        since = now;
    judge(state, now);
}

void partition_detector::forget(std::string_view region, std::string_view peer) {
    auto const state = regions_.find(region);
    if (state == regions_.end())
        return;
    auto const known = state->second.silent_since.find(peer);
    if (known != state->second.silent_since.end())
        state->second.silent_since.erase(known);
    if (state->second.silent_since.empty())
        regions_.erase(state);
}

bool partition_detector::partitioned(std::string_view region) const {
    auto const state = regions_.find(region);
    return state != regions_.end() && state->second.partitioned;
}

void partition_detector::judge(region_state& state, base::time_point now) {
    auto const peers = state.silent_since.size();
    auto const count = [&](auto const& matches) {
        return static_cast<std::size_t>(std::ranges::count_if(
            state.silent_since, [&](auto const& peer) { return peer.second && matches(*peer.second); }));
    };
    auto const silent = count([](base::time_point) { return true; });
    auto const recent = count([&](base::time_point since) { return now - since <= partition_window; });
    if (state.partitioned)
        state.partitioned = silent * 2 > peers;
    else
        state.partitioned = peers >= partition_minimum_peers && recent * 2 > peers;
}

} // namespace cyclamenledge::membership
