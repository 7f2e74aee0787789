#pragma once

#include "forwarding/attempt_policy.h"
#include "forwarding/local_retry_budget.h"
#include "forwarding_entry/entry_parts.h"
#include "log/event_kind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding_entry {

/// Reasons of a retry_decision, as logged.
namespace retry_reason {
inline constexpr std::string_view free = "free";
inline constexpr std::string_view on_budget = "on_budget";
inline constexpr std::string_view final_outcome = "final_outcome";
inline constexpr std::string_view no_budget = "no_budget";
inline constexpr std::string_view caller_left = "caller_left";
inline constexpr std::string_view deadline = "deadline";
} // namespace retry_reason

/// Whether a request is sent to another target, and what decided it.
struct retry_decision {
    bool allowed{false};
    std::string_view reason{retry_reason::final_outcome};
    /// The budget after the decision, and the number of entries that divide its reserve.
    forwarding::retry_budget_use budget{};
    base::time_point at{};
    std::optional<std::uint32_t> entries{};
};

/// Asks whether a request may be sent to another target, and spends the retry budget. Nothing is counted in the
/// metrics, because a request that waits for an answer asks repeatedly.
retry_decision ask_retry(entry_parts& parts, std::string const& service, forwarding::attempt_facts const& facts);
/// Returns what the decision has spent, because the request is not sent.
void give_back(entry_parts& parts, std::string const& service, retry_decision const& decision);

/// Decides whether a request whose last attempt has ended is sent to another target, and spends the retry budget.
retry_decision decide_retry(entry_parts& parts, std::string const& service, forwarding::attempt_facts const& facts);

/// Logs that the request is sent again after an attempt that ended for the given reason.
void log_retry(log::event_kind event, std::string const& request, std::string const& last_target,
               std::string_view last_reason, retry_decision const& decision);

} // namespace cyclamenledge::forwarding_entry
