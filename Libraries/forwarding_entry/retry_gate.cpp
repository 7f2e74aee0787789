#include "forwarding_entry/retry_gate.h"

#include "log/logger.h"

#include <cmath>

namespace cyclamenledge::forwarding_entry {

retry_decision ask_retry(entry_parts& parts, std::string const& service, forwarding::attempt_facts const& facts) {
    auto const now = base::clock::now();
    auto const entries = parts.board.fleet.count_entries(now);
    auto& budget = parts.board.retry_budget(service);
    retry_decision decision;
    switch (forwarding::may_repeat(facts)) {
    case forwarding::repetition::none:
        break;
    case forwarding::repetition::free:
        decision.allowed = true;
        decision.reason = retry_reason::free;
        break;
    case forwarding::repetition::on_budget:
        decision.allowed = budget.try_spend(entries, now);
        decision.reason = decision.allowed ? retry_reason::on_budget : retry_reason::no_budget;
        break;
    }
    decision.at = now;
    decision.budget = budget.use(entries, now);
    decision.entries = entries;
    return decision;
}

void give_back(entry_parts& parts, std::string const& service, retry_decision const& decision) {
    if (decision.allowed && decision.reason == retry_reason::on_budget)
        parts.board.retry_budget(service).give_back(decision.at);
}

retry_decision decide_retry(entry_parts& parts, std::string const& service, forwarding::attempt_facts const& facts) {
    auto const decision = ask_retry(parts, service, facts);
    if (decision.allowed)
        parts.metrics.add(metrics::counter_kind::retries);
    else if (decision.reason == retry_reason::no_budget)
        parts.metrics.add(metrics::counter_kind::retry_budget_exhausted);
    return decision;
}

void log_retry(log::event_kind event, std::string const& request, std::string const& last_target,
               std::string_view last_reason, retry_decision const& decision) {
    log::write(event, {{"request", request},
                       {"after", last_target},
                       {"reason", last_reason},
                       {"charged", decision.reason},
                       {"retries", decision.budget.spent},
                       {"retries_allowed", std::lround(decision.budget.allowed)},
                       {"entries", decision.entries.value_or(0)}});
}

} // namespace cyclamenledge::forwarding_entry
