#include "retry/may_retry.h"

namespace cyclamenledge::retry {

namespace {

constexpr retry_verdict give_up(retry_reason reason) {
    return {retry_action::give_up, reason};
}

} // namespace

retry_verdict may_retry(attempt_state const& state, base::time_point now) {
    auto const& answer = base::answer_for(state.error);
    bool const may_have_run = state.sent == transmission::sent && answer.run != base::run_statement::not_run;
    if (state.token_passed_on)
        return give_up(retry_reason::token_passed_on);
    // A query does not repeat the call, so neither the attempts nor the error kind forbid it.
    if (state.kind == request_kind::non_idempotent_call && may_have_run)
        return {retry_action::query_key, retry_reason::may_have_run};
    if (state.until.expired(now))
        return give_up(retry_reason::deadline_passed);
    if (!answer.try_other_target)
        return give_up(retry_reason::final_answer);
    if (state.kind == request_kind::non_idempotent_call && state.sent == transmission::sent)
        return give_up(retry_reason::final_answer);
    if (state.attempts >= maximum_attempts)
        return give_up(retry_reason::attempts_used_up);
    return {retry_action::retry, retry_reason::safe};
}

retry_verdict may_retry(attempt_state const& state, retry_budget& budget, base::time_point now) {
    auto const verdict = may_retry(state, now);
    if (verdict.action == retry_action::retry && !budget.try_spend(now))
        return give_up(retry_reason::budget_used_up);
    return verdict;
}

} // namespace cyclamenledge::retry
