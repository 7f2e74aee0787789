#include "once/caller_refusal.h"

#include <string>

namespace cyclamenledge::once {

base::error caller_refusal(base::error const& cause) {
    using enum base::error_kind;
    switch (cause.kind) {
    case key_sealed:
    case key_reused:
    case missing_idempotency_key:
    case bad_request:
    case outcome_unknown:
        return cause;
    default:
        break;
    }
    auto message = "this attempt was refused (" + std::string(base::name_of(cause.kind)) + ")";
    if (!cause.message.empty())
        message += ": " + cause.message;
    return {outcome_unknown, std::move(message), cause.retry_after};
}

} // namespace cyclamenledge::once
