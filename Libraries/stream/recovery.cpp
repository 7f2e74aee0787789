#include "stream/recovery.h"

#include "base/name_table.h"

namespace cyclamenledge::stream {

namespace {

constexpr base::name_table<recovery_action, 3> action_names{base::make_names({"resume", "rerun", "fail"})};

recovery_decision fail_with(base::error_kind kind) {
    return {recovery_action::fail, kind};
}

} // namespace

std::string_view name_of(recovery_action action) {
    return action_names.name(action);
}

recovery_decision decide_recovery(recovery_input const& state) {
    using base::error_kind;
    if (!state.caller_present)
        return fail_with(error_kind::cancelled);
    if (state.deadline_passed)
        return fail_with(error_kind::deadline_exceeded);
    // A resume starts no new work, so it costs no retry budget.
    if (state.generation == generation_state::running)
        return {recovery_action::resume, {}};
    if (state.tokens_sent > 0)
        return fail_with(error_kind::generation_lost);
    if (state.is_poison)
        return fail_with(error_kind::poison_request);
    auto const not_run = state.generation == generation_state::never_admitted;
    if (!state.other_target_available)
        return fail_with(not_run ? error_kind::no_target : error_kind::target_failed);
    if (!state.budget_available)
        return fail_with(not_run ? error_kind::overloaded : error_kind::target_failed);
    return {recovery_action::rerun, {}};
}

} // namespace cyclamenledge::stream
