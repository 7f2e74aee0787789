#pragma once

#include "base/error.h"
#include "base/name_table.h"
#include "retry/deadline.h"

#include <cstdint>

namespace cyclamenledge::retry {

enum class request_kind : std::uint8_t { generation, idempotent_call, non_idempotent_call };

/// Whether this process may have sent a frame of the attempt.
enum class transmission : std::uint8_t { not_sent, sent };

/// State of a request after a failed attempt; input for the retry decision.
struct attempt_state {
    base::error_kind error{base::error_kind::internal};
    request_kind kind{request_kind::generation};
    transmission sent{transmission::not_sent};
    bool token_passed_on{false};
    /// Number of attempts so far, including the failed one.
    std::uint32_t attempts{1};
    deadline until;
};

enum class retry_action : std::uint8_t { retry, query_key, give_up };
inline constexpr base::name_table<retry_action, 3> retry_action_names{
    base::make_names({"retry", "query_key", "give_up"})};

enum class retry_reason : std::uint8_t {
    safe,
    token_passed_on,
    deadline_passed,
    attempts_used_up,
    final_answer,
    may_have_run,
    budget_used_up,
};
inline constexpr base::name_table<retry_reason, 7> retry_reason_names{
    base::make_names({"safe", "token_passed_on", "deadline_passed", "attempts_used_up", "final_answer", "may_have_run",
                      "budget_used_up"})};

struct retry_verdict {
    retry_action action{retry_action::give_up};
    retry_reason reason{retry_reason::final_answer};
};

} // namespace cyclamenledge::retry
