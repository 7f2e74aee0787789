#pragma once

#include "base/guarded.h"
#include "membership/member_table.h"

#include <optional>

namespace cyclamenledge::process {

/// The tables that both roles have. The table of members exists from the first catalogue on, which names the region.
struct blackboard {
    base::guarded<std::optional<membership::member_table>, base::lock_rank::membership> members;
};

} // namespace cyclamenledge::process
