#pragma once

#include "admission/admission_controller.h"
#include "agent/call_table.h"
#include "agent/run_table.h"
#include "base/guarded.h"
#include "catalogue/catalogue.h"

#include <optional>

namespace cyclamenledge::agent {

/// What is known about the target beside the agent.
struct target_view {
    /// The newest catalogue that publishes this target.
    catalogue::catalogue_pointer catalogue;
    /// The VM list states that the VM of this target is leaving.
    bool vm_leaving{false};
    bool reachable{false};
    std::uint64_t incarnation{0};
    std::uint64_t preemptions{0};
};

/// The tables of an agent. Controllers take the locks in the order of their ranks.
struct blackboard {
    base::guarded<target_view, base::lock_rank::configuration> target;
    base::guarded<std::optional<admission::admission_controller>, base::lock_rank::admission> admission;
    base::guarded<call_table, base::lock_rank::keys> calls;
    base::guarded<run_table, base::lock_rank::streams> runs;
};

} // namespace cyclamenledge::agent
