#include "routing/subset.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_map>

namespace cyclamenledge::routing {

namespace {

constexpr std::size_t unbounded = std::numeric_limits<std::size_t>::max();

std::string_view region_of(catalogue::catalogue const& published, std::string_view domain) {
    auto const* found = published.find_failure_domain(domain);
    return found == nullptr ? std::string_view{} : std::string_view{found->region};
}

std::size_t divide_up(std::size_t dividend, std::size_t divisor) {
    return divisor == 0 ? 0 : (dividend + divisor - 1) / divisor;
}

std::size_t links_per_service(std::size_t targets, std::size_t all_targets, subset_policy const& policy) {
    if (all_targets <= policy.links_per_entry)
        return targets;
    auto const share = static_cast<double>(policy.links_per_entry * targets) / static_cast<double>(all_targets);
    auto const rounded = static_cast<std::size_t>(std::lround(share));
    return std::min(targets, std::max(rounded, policy.minimum_links_per_service));
}

} // namespace

subset::subset(catalogue::catalogue const& published, std::string_view service, subset_policy policy)
    : catalogue_(published)
    , policy_(policy) {
    collect_members(service);
    per_entry_ = links_per_service(targets_.size(), catalogue_.targets().size(), policy_);
    if (per_entry_ == targets_.size()) {
        for (std::size_t entry = 0; entry < links_.size(); ++entry) {
            for (std::size_t target = 0; target < targets_.size(); ++target)
                link(entry, target);
        }
        return;
    }
    link_own_region();
    link_other_regions();
    ensure_two_failure_domains();
    ensure_minimum_entries();
}

std::vector<std::size_t> subset::targets_of(std::string_view entry) const {
    std::vector<std::size_t> result;
    auto const* found = catalogue_.find_entry(entry);
    if (found == nullptr)
        return result;
    auto const position = static_cast<std::size_t>(found - catalogue_.entries().data());
    for (auto const target : links_[position])
        result.push_back(targets_[target]);
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<std::size_t> subset::entries_per_target() const {
    return degrees_;
}

void subset::collect_members(std::string_view service) {
    auto const& all = catalogue_.targets();
    for (std::size_t position = 0; position < all.size(); ++position) {
        if (all[position].service != service)
            continue;
        targets_.push_back(position);
        target_regions_.push_back(region_of(catalogue_, all[position].failure_domain));
    }
    for (auto const& entry : catalogue_.entries())
        entry_regions_.push_back(region_of(catalogue_, entry.failure_domain));
    links_.resize(entry_regions_.size());
    degrees_.resize(targets_.size());
}

std::vector<subset::pair> subset::scored_pairs(scope selected) const {
    std::vector<pair> pairs;
    for (std::uint32_t entry = 0; entry < links_.size(); ++entry) {
        auto const seed = base::hash_text(catalogue_.entries()[entry].name);
        for (std::uint32_t target = 0; target < targets_.size(); ++target) {
            bool const own = entry_regions_[entry] == target_regions_[target];
            if (own == (selected == scope::own_region))
                pairs.push_back({base::hash_text(catalogue_.targets()[targets_[target]].name, seed), entry, target});
        }
    }
    std::sort(pairs.begin(), pairs.end(), [](pair const& left, pair const& right) { return left.score > right.score; });
    return pairs;
}

void subset::link_own_region() {
    std::unordered_map<std::string_view, std::size_t> entries;
    std::unordered_map<std::string_view, std::size_t> targets;
    for (auto const region : entry_regions_)
        ++entries[region];
    for (auto const region : target_regions_)
        ++targets[region];
    bool const one_region = targets.size() < 2;
    auto const links_per_entry = per_entry_ - (one_region ? 0 : std::min(per_entry_, policy_.remote_links_per_service));
    std::vector<std::size_t> const entry_quota(links_.size(), links_per_entry);
    std::vector<std::size_t> target_quota;
    target_quota.reserve(targets_.size());
    for (auto const region : target_regions_)
        target_quota.push_back(divide_up(entries[region] * links_per_entry, targets[region]));
    auto const pairs = scored_pairs(scope::own_region);
    // The first round uses the rounded-down quota, so that no target stays far below the mean. With the rounded-up
    // quota alone, some targets were linked to a single entry.
    auto rounded_down_quota = target_quota;
    for (std::size_t target = 0; target < targets_.size(); ++target) {
        auto const region = target_regions_[target];
        rounded_down_quota[target] = entries[region] * links_per_entry / targets[region];
    }
    link_in_order(pairs, entry_quota, rounded_down_quota);
    link_in_order(pairs, entry_quota, target_quota);
    // An entry can stay below its quota when it is already linked to the last targets that are below theirs. The last
    // round therefore ignores the quotas of targets.
    link_in_order(pairs, entry_quota, std::vector<std::size_t>(targets_.size(), unbounded));
}

void subset::link_other_regions() {
    std::vector<std::size_t> const entry_quota(links_.size(), per_entry_);
    auto const mean_entries = std::max<std::size_t>(divide_up(links_.size() * per_entry_, targets_.size()), 1);
    auto const pairs = scored_pairs(scope::other_regions);
    link_in_order(pairs, entry_quota, std::vector<std::size_t>(targets_.size(), mean_entries - 1));
    link_in_order(pairs, entry_quota, std::vector<std::size_t>(targets_.size(), mean_entries));
    link_in_order(pairs, entry_quota, std::vector<std::size_t>(targets_.size(), mean_entries + 1));
    link_in_order(pairs, entry_quota, std::vector<std::size_t>(targets_.size(), unbounded));
}

void subset::ensure_two_failure_domains() {
    // A class that never crosses regions needs targets in two failure domains of its own region, if there are two.
    auto const domain_of = [this](std::size_t target) -> std::string const& {
        return catalogue_.targets()[targets_[target]].failure_domain;
    };
    auto const pairs = scored_pairs(scope::own_region);
    std::vector<std::set<std::string_view>> domains(links_.size());
    for (std::size_t entry = 0; entry < links_.size(); ++entry) {
        for (auto const target : links_[entry]) {
            if (target_regions_[target] == entry_regions_[entry])
                domains[entry].insert(domain_of(target));
        }
    }
    for (auto const& candidate : pairs) {
        auto& covered = domains[candidate.entry];
        if (covered.size() == 1 && covered.insert(domain_of(candidate.target)).second)
            link(candidate.entry, candidate.target);
    }
}

void subset::ensure_minimum_entries() {
    std::vector<std::size_t> const minimum(targets_.size(), policy_.minimum_entries_per_target);
    std::vector<std::size_t> const unbounded_quota(links_.size(), unbounded);
    link_in_order(scored_pairs(scope::own_region), unbounded_quota, minimum);
    link_in_order(scored_pairs(scope::other_regions), unbounded_quota, minimum);
}

void subset::link_in_order(std::vector<pair> const& pairs, std::vector<std::size_t> const& entry_quota,
                           std::vector<std::size_t> const& target_quota) {
    for (auto const& candidate : pairs) {
        if (links_[candidate.entry].size() < entry_quota[candidate.entry] &&
            degrees_[candidate.target] < target_quota[candidate.target] && !linked(candidate.entry, candidate.target))
            link(candidate.entry, candidate.target);
    }
}

bool subset::linked(std::size_t entry, std::size_t target) const {
    auto const& links = links_[entry];
    return std::find(links.begin(), links.end(), target) != links.end();
}

void subset::link(std::size_t entry, std::size_t target) {
    links_[entry].push_back(static_cast<std::uint32_t>(target));
    ++degrees_[target];
}

} // namespace cyclamenledge::routing
