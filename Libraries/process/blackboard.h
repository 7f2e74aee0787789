#pragma once

#include "base/guarded.h"
#include "membership/member_table.h"

#include <optional>

namespace cyclamenledge::process {

/// Tables that both roles share. The member table is created with the first catalogue, which defines the own region.
struct blackboard {
    base::guarded<std::optional<membership::member_table>, base::lock_rank::membership> members;
};

} // namespace cyclamenledge::process
