#include "retry/hedge_decision.h"

namespace cyclamenledge::retry {

void hedge_decision::observe(std::string_view service, base::duration latency) {
    latencies_by_service_[std::string(service)].observe(latency);
}

std::optional<base::time_point> hedge_decision::hedge_time(pending_call const& call) const {
    auto const found = latencies_by_service_.find(std::string(call.service));
    if (call.hedged || call.kind != request_kind::idempotent_call || found == latencies_by_service_.end())
        return std::nullopt;
    auto const latency = found->second.value();
    if (!latency)
        return std::nullopt;
    return call.sent_at + *latency;
}

bool hedge_decision::hedge(pending_call const& call, retry_budget& budget, base::time_point now) const {
    auto const at = hedge_time(call);
    return at && now >= *at && !call.until.expired(now) && budget.try_spend(now);
}

} // namespace cyclamenledge::retry
