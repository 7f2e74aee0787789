#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenledge::membership {

/// Peers that become unresponsive within this window are assumed to share one cause.
inline constexpr base::seconds partition_window{5};
/// Smallest number of observed peers of a region for which a partition can be detected: one unresponsive peer on its
/// own does not show a partition.
inline constexpr std::size_t partition_minimum_peers{2};

/// Distinguishes a network partition between regions from failures of single peers.
class partition_detector {
public:
    explicit partition_detector(std::string own_region)
        : own_region_(std::move(own_region)) {}

    void on_link(std::string_view region, std::string_view peer, bool healthy, base::time_point now);
    /// Removes a peer whose link was closed on purpose.
    void remove_peer(std::string_view region, std::string_view peer);
    /// Whether the region is partitioned from this one. Once true, the result stays true until at least half of the
    /// region's peers respond again.
    bool partitioned(std::string_view region) const;

private:
    struct region_state {
        /// When each peer became unresponsive; empty for healthy peers.
        std::map<std::string, std::optional<base::time_point>, std::less<>> unresponsive_since;
        bool partitioned{false};
    };

    static void update_partition(region_state& state, base::time_point now);

    std::string own_region_;
    std::map<std::string, region_state, std::less<>> regions_;
};

} // namespace cyclamenledge::membership
