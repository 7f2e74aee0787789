#pragma once

#include "base/time.h"
#include "catalogue/catalogue.h"
#include "membership/partition_detector.h"
#include "membership/target_eligibility.h"
#include "membership/vm_view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::membership {

/// State of the link to a target or entry, as observed by this process.
enum class link_condition : std::uint8_t { none, healthy, suspect };

/// Mechanisms that mutation checks in tests disable. All are enabled in production.
struct member_switches {
    bool check_service_state{true};
    bool check_leaving{true};
};

/// Combines the catalogue, the VM list and the link states observed by this process into one view of the targets and
/// entries. The links decide whether a member is alive; the VM list decides whether its VM is leaving.
class member_table {
public:
    explicit member_table(std::string own_region, base::duration vm_list_lag = default_vm_list_lag,
                          member_switches switches = {});

    void on_catalogue(catalogue::catalogue_pointer published, base::time_point now, base::wall_time wall);
    /// Returns false if the list was implausible and therefore ignored.
    bool on_vm_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall);
    void on_link(std::string_view member, link_condition condition, base::time_point now);
    /// Records whether the member's latest heartbeat announces that the member is shutting down.
    void on_announced_leaving(std::string_view member, bool leaving);

    target_eligibility eligibility_of(std::string_view target, base::time_point now) const;
    /// Targets of the service that may receive new work, in the order of the catalogue.
    std::vector<catalogue::target const*> eligible_targets(std::string_view service, base::time_point now) const;
    /// Entries that are not leaving, whose VM is not absent and whose link is not suspect, in the order of the
    /// catalogue.
    std::vector<catalogue::entry const*> live_entries(base::time_point now) const;

    /// Null before the first catalogue.
    catalogue::catalogue_pointer const& published() const { return catalogue_; }
    bool region_partitioned(std::string_view region) const { return partitions_.partitioned(region); }
    /// When the VM of a member was first missing from the VM list, once vm_view counts it as absent. Empty while this
    /// process has a healthy link to the member.
    std::optional<base::wall_time> absent_since(std::string_view member, base::time_point now) const;
    std::uint64_t implausible_vm_lists() const { return vms_.implausible_lists(); }

private:
    struct observation {
        link_condition link{link_condition::none};
        bool announced_leaving{false};
    };
    struct location {
        std::string_view vm;
        std::string_view region;
    };

    std::optional<location> locate(std::string_view member) const;
    observation observation_of(std::string_view member) const;
    target_eligibility link_eligibility(link_condition link, std::string_view region) const;
    void track_vms(base::time_point now, base::wall_time wall);

    member_switches switches_;
    catalogue::catalogue_pointer catalogue_;
    vm_view vms_;
    partition_detector partitions_;
    std::map<std::string, observation, std::less<>> observations_;
};

} // namespace cyclamenledge::membership
