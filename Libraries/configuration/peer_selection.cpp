#include "configuration/peer_selection.h"

#include "base/hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cyclamenledge::configuration {

namespace {

using ranked_peer = std::pair<std::uint64_t, peer const*>;

/// Orders peers by score, and by name where scores are equal, so that the result doesn't depend on the input order.
bool ranks_before(ranked_peer const& left, ranked_peer const& right) {
    return left.first != right.first ? left.first > right.first : left.second->name < right.second->name;
}

void keep_first(std::vector<ranked_peer>& ranked, std::size_t count) {
    auto const kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(), ranks_before);
    ranked.resize(kept);
}

} // namespace

std::vector<peer const*> select_peers(peer const& self, std::vector<peer> const& live, selection_switches switches) {
    std::vector<ranked_peer> near;
    std::vector<ranked_peer> remote;
    for (auto const& candidate : live) {
        if (candidate.name == self.name)
            continue;
        auto& group = candidate.region == self.region ? near : remote;
        group.emplace_back(base::rendezvous_score(self.name, candidate.name), &candidate);
    }
    if (!switches.include_other_regions)
        remote.clear();
    auto const remote_count =
        std::max(std::min(remote_fan_out, remote.size()), fan_out - std::min(fan_out, near.size()));
    keep_first(remote, remote_count);
    keep_first(near, fan_out - std::min(fan_out, remote.size()));

    std::vector<peer const*> chosen;
    for (auto const& group : {near, remote}) {
        for (auto const& [score, candidate] : group)
            chosen.push_back(candidate);
    }
    return chosen;
}

bool is_watcher(peer const& self, std::vector<peer> const& live_entries) {
    std::vector<ranked_peer> ranked;
    for (auto const& candidate : live_entries) {
        if (candidate.failure_domain == self.failure_domain)
            ranked.emplace_back(base::rendezvous_score(self.failure_domain, candidate.name), &candidate);
    }
    keep_first(ranked, watchers_per_failure_domain);
    return std::ranges::any_of(ranked, [&](auto const& entry) { return entry.second->name == self.name; });
}

} // namespace cyclamenledge::configuration
