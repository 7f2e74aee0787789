#pragma once

#include "catalogue/catalogue.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cyclamenledge::routing {

/// Sizes of the subset of targets that each entry is linked to.
struct subset_policy {
    /// Links per entry over all services. Fleets with no more targets than this are linked completely.
    std::size_t links_per_entry{32};
    /// Two choices, one replacement for an ejected target and one link to another region.
    std::size_t minimum_per_service{4};
    /// Links per service to other regions, so that a class may cross when its own region is full.
    std::size_t remote_per_service{1};
    /// Entries that every target is linked to, so that the loss of one entry leaves it in use.
    std::size_t minimum_per_target{2};
};

/// The links between all published entries and the targets of one service. Every process that holds the same catalogue
/// computes the same links.
///
/// Pairs are taken in the order of their rendezvous score while both sides have room. An entry or target that comes or
/// goes therefore changes its own links and short chains of replacements.
class subset {
public:
    /// The builder of the catalogue has checked all names.
    subset(catalogue::catalogue const& published, std::string_view service, subset_policy policy = {});

    /// Positions in catalogue::targets() that an entry is linked to, in ascending order. Empty for an unknown entry.
    std::vector<std::size_t> targets_of(std::string_view entry) const;
    /// Number of entries per target of the service, in the order of the catalogue.
    std::vector<std::size_t> entries_per_target() const;

private:
    struct pair {
        std::uint64_t score;
        std::uint32_t entry;
        std::uint32_t target;
    };
    enum class scope : std::uint8_t { own_region, other_regions };

    void find_members(std::string_view service);
    std::vector<pair> scored_pairs(scope wanted) const;
    void link_own_region();
    void link_other_regions();
    void cover_failure_domains();
    void cover_targets();
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
