#pragma once

#include "retry/attempt_state.h"
#include "retry/latency_quantile.h"
#include "retry/retry_budget.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenledge::retry {

/// An idempotent call that still waits for its answer.
struct waiting_call {
    std::string_view service;
    request_kind kind{request_kind::idempotent_call};
    base::time_point sent_at{};
    bool hedged{false};
    deadline until;
};

/// Decides whether a second copy of an idempotent call is sent: once, after the p95 latency of its service, and paid
/// from the retry budget. One per entry; it holds one quantile per service of the catalogue.
class hedge_decision {
public:
    /// Services arrive from the catalogue, so their number is bounded by it.
    void observe(std::string_view service, base::duration latency);
    /// When the call should be looked at. Empty while the service has no estimate or the call may not be hedged.
    std::optional<base::time_point> due(waiting_call const& call) const;
    bool hedge(waiting_call const& call, retry_budget& budget, base::time_point now) const;

private:
    std::unordered_map<std::string, latency_quantile> services_;
};

} // namespace cyclamenledge::retry
