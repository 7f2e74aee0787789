#pragma once

#include "catalogue/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cyclamenledge::routing {

/// Size limits of the subset of targets to which each entry is linked.
struct subset_policy {
    /// Links per entry over all services. If the fleet has no more targets than this, every entry is linked to every
    /// target.
    std::size_t links_per_entry{32};
    /// Minimum number of links per entry and service: two choices, one replacement for an ejected target and one link
    /// to another region.
    std::size_t minimum_links_per_service{4};
    /// Links per entry and service to other regions, so that a class may cross regions when its own region is full.
    std::size_t remote_links_per_service{1};
    /// Minimum number of entries per target, so that a target stays in use after the loss of one entry.
    std::size_t minimum_entries_per_target{2};
};

/// Deterministic subsetting: the links between all published entries and the targets of one service. Every process with
/// the same catalogue computes the same links.
///
/// Pairs of entry and target are linked in the order of their rendezvous scores until their quotas are reached. Adding
/// or removing an entry or target therefore changes only its own links and short chains of replacements.
class subset {
public:
    /// Expects a catalogue whose builder has validated all names.
    subset(catalogue::catalogue const& published, std::string_view service, subset_policy policy = {});

    /// Positions in catalogue::targets() of the targets to which an entry is linked, in ascending order. Empty for an
    /// unknown entry.
    std::vector<std::size_t> targets_of(std::string_view entry) const;
    /// Number of linked entries of each target of the service, in the order of the catalogue.
    std::vector<std::size_t> entries_per_target() const;

private:
    struct pair {
        std::uint64_t score;
        std::uint32_t entry;
        std::uint32_t target;
    };
    enum class scope : std::uint8_t { own_region, other_regions };

    void collect_members(std::string_view service);
    std::vector<pair> scored_pairs(scope selected) const;
    void link_own_region();
    void link_other_regions();
    void ensure_two_failure_domains();
    void ensure_minimum_entries();
    void link_in_order(std::vector<pair> const& pairs, std::vector<std::size_t> const& entry_quota,
                       std::vector<std::size_t> const& target_quota);
    bool linked(std::size_t entry, std::size_t target) const;
    void link(std::size_t entry, std::size_t target);

    catalogue::catalogue const& catalogue_;
    subset_policy policy_;
    std::size_t per_entry_{0};
    std::vector<std::size_t> targets_;
    std::vector<std::string_view> entry_regions_;
    std::vector<std::string_view> target_regions_;
    std::vector<std::vector<std::uint32_t>> links_;
    std::vector<std::size_t> degrees_;
};

} // namespace cyclamenledge::routing
