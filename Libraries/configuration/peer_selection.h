#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::configuration {

/// Peers that each process chooses. Connections carry both directions, so the mean degree is twice this.
inline constexpr std::size_t fan_out = 4;
/// Peers among them in other regions. Links between regions are billed by volume, so most peers are near.
inline constexpr std::size_t remote_fan_out = 1;
/// Two, so that the end of one watcher doesn't leave its failure domain without one.
inline constexpr std::size_t watchers_per_failure_domain = 2;

/// A live process that may receive configuration.
struct peer {
    std::string name;
    std::string failure_domain;
    std::string region;
};

/// Mechanisms that only mutation checks in tests switch off.
struct selection_switches {
    bool include_other_regions{true};
};

/// Chooses the peers of `self` by rendezvous order over the live processes: 3 of its own region and 1 of another, or
/// more of one kind where the other has too few. The end of a process changes only the choices that named it.
std::vector<peer const*> select_peers(peer const& self, std::vector<peer> const& live,
                                      selection_switches switches = {});

/// Whether `self` is one of the first two live entries of its failure domain in rendezvous order.
bool is_watcher(peer const& self, std::vector<peer> const& live_entries);

} // namespace cyclamenledge::configuration
