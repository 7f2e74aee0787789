#include "membership/partition_detector.h"

#include <algorithm>

namespace cyclamenledge::membership {

void partition_detector::on_link(std::string_view region, std::string_view peer, bool healthy, base::time_point now) {
    if (region == own_region_)
        return;
    auto& state = regions_[std::string{region}];
    auto& since = state.unresponsive_since[std::string{peer}];
    if (healthy)
        since.reset();
    else if (!since)
        since = now;
    update_partition(state, now);
}

void partition_detector::remove_peer(std::string_view region, std::string_view peer) {
    auto const state = regions_.find(region);
    if (state == regions_.end())
        return;
    auto const found = state->second.unresponsive_since.find(peer);
    if (found != state->second.unresponsive_since.end())
        state->second.unresponsive_since.erase(found);
    if (state->second.unresponsive_since.empty())
        regions_.erase(state);
}

bool partition_detector::partitioned(std::string_view region) const {
    auto const state = regions_.find(region);
    return state != regions_.end() && state->second.partitioned;
}

void partition_detector::update_partition(region_state& state, base::time_point now) {
    auto const peers = state.unresponsive_since.size();
    auto const count = [&](auto const& matches) {
        return static_cast<std::size_t>(std::ranges::count_if(
            state.unresponsive_since, [&](auto const& peer) { return peer.second && matches(*peer.second); }));
    };
    auto const unresponsive = count([](base::time_point) { return true; });
    auto const recently_unresponsive = count([&](base::time_point since) { return now - since <= partition_window; });
    if (state.partitioned)
        state.partitioned = unresponsive * 2 > peers;
    else
        state.partitioned = peers >= partition_minimum_peers && recently_unresponsive * 2 > peers;
}

} // namespace cyclamenledge::membership
