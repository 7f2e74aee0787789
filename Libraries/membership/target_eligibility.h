#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenledge::membership {

/// Whether a target may receive new work and, if not, the first reason why.
enum class target_eligibility : std::uint8_t {
    eligible,
    not_in_catalogue,
    target_out_of_service,
    failure_domain_out_of_service,
    vm_leaving,
    announced_leaving,
    vm_gone,
    not_connected,
    region_partitioned,
    link_suspect,
};

std::string_view name_of(target_eligibility value);

} // namespace cyclamenledge::membership
