#pragma once

#include "base/guarded.h"
#include "catalogue/catalogue.h"
#include "entry/attempt.h"
#include "entry/limit_state.h"
#include "once/call_tracker.h"
#include "poison_control/poison_controller.h"
#include "retry/hedge_decision.h"
#include "retry/retry_budget.h"
#include "routing/target_table.h"

#include <optional>

namespace cyclamenledge::entry {

/// What an entry knows about targets and how much it may retry.
struct routing_state {
    std::optional<routing::target_table> targets;
    retry::retry_budget budget;
    retry::hedge_decision hedges;
};

/// The tables of an entry. Controllers take the locks in the order of their ranks.
struct blackboard {
    base::guarded<catalogue::catalogue_pointer, base::lock_rank::configuration> catalogue;
    base::guarded<routing_state, base::lock_rank::routing> routing;
    guarded_limits limits;
    poison_control::guarded_suspects suspects;
    base::guarded<once::call_tracker, base::lock_rank::keys> calls{once::call_tracker_options{}};
    guarded_attempts attempts;
};

} // namespace cyclamenledge::entry
