#pragma once

#include "base/time.h"
#include "catalogue/catalogue.h"
#include "membership/partition_detector.h"
#include "membership/standing.h"
#include "membership/vm_view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::membership {

/// Own observation of the link to a target or entry.
enum class link_condition : std::uint8_t { none, healthy, suspect };

/// Mechanisms that only mutation checks in tests switch off.
struct member_switches {
    bool check_service_state{true};
    bool check_leaving{true};
};

/// Targets and entries as seen by this process: the catalogue, the VM list and own observation in one view. Own
/// observation decides whether a member is alive, the VM list whether it is leaving.
class member_table {
public:
    explicit member_table(std::string own_region, base::duration vm_list_lag = default_vm_list_lag,
                          member_switches switches = {});

    void on_catalogue(catalogue::catalogue_pointer published, base::time_point now, base::wall_time wall);
    /// False if the list was implausible and had no effect.
    bool on_vm_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall);
    void on_link(std::string_view member, link_condition condition, base::time_point now);
    /// The member's own heartbeat says that it is about to stop, or that it no longer is.
    void on_announced_leaving(std::string_view member, bool leaving);

    standing standing_of(std::string_view target, base::time_point now) const;
    /// In the order of the catalogue.
    std::vector<catalogue::target const*> eligible_targets(std::string_view service, base::time_point now) const;
    /// Entries that neither leave nor are gone nor have a suspect link, in the order of the catalogue.
    std::vector<catalogue::entry const*> live_entries(base::time_point now) const;

    /// Null before the first catalogue.
    catalogue::catalogue_pointer const& published() const { return catalogue_; }
    bool region_partitioned(std::string_view region) const { return partitions_.partitioned(region); }
    /// When the VM of a member was first seen absent. None while this process has a healthy link to the member.
    std::optional<base::wall_time> gone_since(std::string_view member, base::time_point now) const;
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
    observation observed(std::string_view member) const;
    standing link_standing(link_condition link, std::string_view region) const;
    void expect_vms(base::time_point now, base::wall_time wall);

    member_switches switches_;
    catalogue::catalogue_pointer catalogue_;
    vm_view vms_;
    partition_detector partitions_;
    std::map<std::string, observation, std::less<>> observations_;
};

} // namespace cyclamenledge::membership
