#pragma once

#include "base/name_table.h"
#include "catalogue/failure_domain.h"
#include "catalogue/service.h"
#include "catalogue/service_class.h"
#include "catalogue/target.h"

namespace cyclamenledge::catalogue {

/// Names of the enumerations in documents.
inline constexpr base::name_table<service_state, 2> service_state_names{
    base::make_names({"in_service", "out_of_service"})};
inline constexpr base::name_table<service_kind, 2> service_kind_names{base::make_names({"generation", "plain"})};
inline constexpr base::name_table<call_semantics, 2> call_semantics_names{
    base::make_names({"idempotent", "non_idempotent"})};
inline constexpr base::name_table<class_goal, 2> class_goal_names{base::make_names({"token_gap", "completion"})};
inline constexpr base::name_table<region_crossing, 3> region_crossing_names{
    base::make_names({"never", "when_full", "always"})};
inline constexpr base::name_table<fencing_support, 2> fencing_support_names{base::make_names({"checked", "ignored"})};

} // namespace cyclamenledge::catalogue
