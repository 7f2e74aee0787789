#pragma once

#include "retry/attempt_state.h"
#include "retry/latency_quantile.h"
#include "retry/retry_budget.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cyclamenledge::retry {

/// A call without a response so far.
struct pending_call {
    std::string_view service;
    request_kind kind{request_kind::idempotent_call};
    base::time_point sent_at{};
    bool hedged{false};
    deadline until;
};

/// Decides whether an idempotent call is hedged, that is, sent a second time: at most once, after the p95 latency of
/// its service, and charged to the retry budget. Each entry has one instance with a latency quantile per service.
class hedge_decision {
public:
    /// Records the latency of a call. The number of services is bounded by the catalogue.
    void observe(std::string_view service, base::duration latency);
    /// Returns the time at which the call is hedged. No value while the service has no latency estimate or if the call
    /// must not be hedged.
    std::optional<base::time_point> hedge_time(pending_call const& call) const;
    /// Returns whether the call is to be hedged now, and charges the hedge to the budget.
    bool hedge(pending_call const& call, retry_budget& budget, base::time_point now) const;

private:
    std::unordered_map<std::string, latency_quantile> latencies_by_service_;
};

} // namespace cyclamenledge::retry
