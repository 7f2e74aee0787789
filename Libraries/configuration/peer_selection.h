#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::configuration {

/// Number of peers that each process selects. Connections carry both directions, so the mean degree is twice this.
inline constexpr std::size_t fan_out = 4;
/// Number of selected peers in other regions. Links between regions are billed by volume, so most peers are in the same
/// region.
inline constexpr std::size_t remote_fan_out = 1;
/// Number of entries per failure domain that watch the configuration service. With two, the domain still has a watcher
/// when one of them stops.
inline constexpr std::size_t watchers_per_failure_domain = 2;

/// A live process that may be selected as a gossip peer.
struct peer {
    std::string name;
    std::string failure_domain;
    std::string region;
};

/// Mechanisms that mutation checks in tests disable. All are enabled in production.
struct selection_switches {
    bool include_other_regions{true};
};

/// Selects the peers of `self` by rendezvous hashing over the live processes: 3 of its own region and 1 of another, or
/// more of one kind where the other has too few. When a process stops, only the selections that contained it change.
std::vector<peer const*> select_peers(peer const& self, std::vector<peer> const& live,
                                      selection_switches switches = {});

/// Whether `self` is one of the first two live entries of its failure domain in rendezvous order.
bool is_watcher(peer const& self, std::vector<peer> const& live_entries);

} // namespace cyclamenledge::configuration
