#include "forwarding/attempt_policy.h"

namespace cyclamenledge::forwarding {

namespace {

// An engine sends an event every 30 to 75 ms. After a gap of this length the engine counts as unresponsive for a stream
// that can resume elsewhere; a shorter timeout would interrupt requests that were preempted.
constexpr base::milliseconds stall_timeout_with_backup{900};
constexpr base::milliseconds stall_timeout_when_resumable{1500};

} // namespace

std::optional<stall_rule> rule_for_stall(run_facts const& facts) {
    if (facts.received_event && facts.has_backup)
        return stall_rule{stall_action::resume_from_backup, stall_timeout_with_backup};
    if (!facts.may_repeat)
        return std::nullopt;
    return stall_rule{stall_action::replace,
                      facts.received_event ? stall_timeout_when_resumable : facts.latency_objective};
}

repetition may_repeat(attempt_facts const& facts) {
    if (facts.crashes_targets)
        return repetition::none;
    bool const another_run_allowed = facts.may_run_again && facts.runs < facts.maximum_runs;
    if (facts.runs > 0 && !another_run_allowed)
        return repetition::none;
    if (facts.outcome == send_outcome::not_sent)
        return facts.unsent < maximum_unreachable_targets ? repetition::free : repetition::none;
    if (facts.outcome == send_outcome::not_run)
        return repetition::on_budget;
    bool const bad = facts.outcome == send_outcome::unknown || facts.server_error;
    return bad && another_run_allowed ? repetition::on_budget : repetition::none;
}

final_answer conclude(attempt_facts const& facts) {
    if (facts.outcome == send_outcome::answered)
        return final_answer::pass_on;
    if (facts.outcome == send_outcome::unknown || facts.runs > 0)
        return final_answer::fail;
    return facts.outcome == send_outcome::not_run ? final_answer::pass_on : final_answer::refuse;
}

} // namespace cyclamenledge::forwarding
