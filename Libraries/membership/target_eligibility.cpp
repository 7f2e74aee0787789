#include "membership/target_eligibility.h"

#include "base/name_table.h"

namespace cyclamenledge::membership {

namespace {

constexpr base::name_table<target_eligibility, 10> names{base::make_names(
    {"eligible", "not_in_catalogue", "target_out_of_service", "failure_domain_out_of_service", "vm_leaving",
     "announced_leaving", "vm_gone", "not_connected", "region_partitioned", "link_suspect"})};

} // namespace

std::string_view name_of(target_eligibility value) {
    return names.name(value);
}

} // namespace cyclamenledge::membership
