#include "base/error.h"

#include "base/json_text.h"
#include "base/name_table.h"

#include <array>

namespace cyclamenledge::base {

namespace {

using enum run_statement;
using enum retry_advice;

constexpr std::array<error_answer, error_kind_count> answers{{
    {"bad_request", 400, not_run, do_not_retry, false},
    {"unauthorised", 401, not_run, do_not_retry, false},
    {"forbidden", 403, not_run, do_not_retry, false},
    {"not_found", 404, not_run, do_not_retry, false},
    {"payload_too_large", 413, not_run, do_not_retry, false},
    {"header_timeout", 408, not_run, retry_later, false},
    {"missing_idempotency_key", 400, not_run, use_new_key, false},
    {"key_reused", 422, not_run, use_new_key, false},
    {"key_expired", 410, not_run, use_new_key, false},
    {"key_from_future", 400, not_run, use_new_key, false},
    {"key_sealed", 409, not_run, use_new_key, false},
    {"outcome_unknown", 504, unknown, repeat_same_key, false},
    {"organisation_limit", 429, not_run, retry_later, false},
    {"overloaded", 503, not_run, retry_later, true},
    {"queue_timeout", 503, not_run, retry_later, false},
    {"deadline_exceeded", 504, partial, do_not_retry, false},
    {"no_target", 503, not_run, retry_later, false},
    {"target_failed", 502, partial, retry_later, true},
    {"generation_lost", 502, partial, retry_later, false},
    {"poison_request", 422, not_run, do_not_retry, false},
    {"leaving", 503, not_run, retry_later, true},
    {"out_of_service", 503, not_run, retry_later, true},
    {"not_owner", 503, not_run, retry_later, true},
    {"stale_submit", 503, not_run, retry_later, true},
    {"cancelled", 499, partial, do_not_retry, false},
    {"link_lost", 502, unknown, retry_later, true},
    {"protocol_error", 502, unknown, retry_later, false},
    {"authentication_failed", 502, not_run, do_not_retry, false},
    {"invalid_configuration", 500, not_run, do_not_retry, false},
    {"io_failed", 502, unknown, retry_later, true},
    {"internal", 500, unknown, do_not_retry, false},
}};

constexpr name_table<run_statement, 4> run_names{make_names({"not_run", "partial", "unknown", "run"})};
constexpr name_table<retry_advice, 4> advice_names{
    make_names({"do_not_retry", "retry_later", "repeat_same_key", "use_new_key"})};

} // namespace

error_answer const& answer_for(error_kind kind) {
    return answers.at(static_cast<std::size_t>(kind));
}

std::string_view name_of(error_kind kind) {
    return answer_for(kind).name;
}

std::string_view name_of(run_statement statement) {
    return run_names.name(statement);
}

std::string_view name_of(retry_advice advice) {
    return advice_names.name(advice);
}

std::optional<error_kind> parse_error_kind(std::string_view name) {
    for (std::size_t index = 0; index < answers.size(); ++index) {
        if (answers[index].name == name)
            return static_cast<error_kind>(index);
    }
    return std::nullopt;
}

std::string error_body(error const& failure) {
    auto const& answer = answer_for(failure.kind);
    std::string body = "{\"error\":{\"kind\":\"";
    body += answer.name;
    body += "\",\"message\":\"";
    body += escape_json(failure.message);
    body += "\",\"run\":\"";
    body += name_of(answer.run);
    body += "\",\"advice\":\"";
    body += name_of(answer.advice);
    body += "\"";
    if (failure.retry_after)
        body += ",\"retry_after_ms\":" + std::to_string(failure.retry_after->count());
    body += "}}";
    return body;
}

} // namespace cyclamenledge::base
