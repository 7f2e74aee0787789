#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::base {

/// The closed list of errors. Each has one row in the answer table.
enum class error_kind {
    bad_request,
    unauthorised,
    forbidden,
    not_found,
    payload_too_large,
    header_timeout,
    missing_idempotency_key,
    key_reused,
    key_expired,
    key_from_future,
    key_sealed,
    outcome_unknown,
    organisation_limit,
    overloaded,
    queue_timeout,
    deadline_exceeded,
    no_target,
    target_failed,
    generation_lost,
    poison_request,
    leaving,
    out_of_service,
    not_owner,
    stale_submit,
    cancelled,
    link_lost,
    protocol_error,
    authentication_failed,
    invalid_configuration,
    io_failed,
    internal,
};
inline constexpr std::size_t error_kind_count = static_cast<std::size_t>(error_kind::internal) + 1;

/// What an answer states about whether the request ran.
enum class run_statement { not_run, partial, unknown, run };

/// What the caller should do next.
enum class retry_advice { do_not_retry, retry_later, repeat_same_key, use_new_key };

/// How one kind of error is answered.
struct error_answer {
    std::string_view name;
    unsigned http_status;
    run_statement run;
    retry_advice advice;
    /// Whether an entry may try another target after this answer of an agent.
    bool try_other_target;
};

error_answer const& answer_for(error_kind kind);
std::string_view name_of(error_kind kind);
std::string_view name_of(run_statement statement);
std::string_view name_of(retry_advice advice);
std::optional<error_kind> parse_error_kind(std::string_view name);

/// An error with a message for people and, where it is known, the time after which to come back.
struct error {
    error_kind kind{error_kind::internal};
    std::string message;
    std::optional<std::chrono::milliseconds> retry_after{};
};

/// The JSON body that callers and operators receive.
std::string error_body(error const& failure);

} // namespace cyclamenledge::base
