#pragma once

#include "base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenledge::membership {

/// Peers that become silent within this window are taken to share one cause.
inline constexpr base::seconds partition_window{5};
/// One silent peer on its own does not show a partition.
inline constexpr std::size_t partition_minimum_peers{2};

/// Tells a partition between regions from failures of single peers.
class partition_detector {
public:
    explicit partition_detector(std::string own_region)
        : own_region_(std::move(own_region)) {}

    void on_link(std::string_view region, std::string_view peer, bool healthy, base::time_point now);
    /// A link that was closed on purpose.
    void forget(std::string_view region, std::string_view peer);
    /// Stays true until at least half of the region's peers answer again.
    bool partitioned(std::string_view region) const;

private:
    struct region_state {
        /// Healthy peers have no time.
        std::map<std::string, std::optional<base::time_point>, std::less<>> silent_since;
        bool partitioned{false};
    };

    static void judge(region_state& state, base::time_point now);

    std::string own_region_;
    std::map<std::string, region_state, std::less<>> regions_;
};

} // namespace cyclamenledge::membership
