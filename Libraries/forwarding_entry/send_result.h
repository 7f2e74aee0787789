#pragma once

#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding_entry {

/// How sending a request to a target ended.
enum class send_outcome : std::uint8_t {
    /// The target's own answer, success or not.
    answered,
    /// The target states that it did not run the request, or nothing was sent.
    not_run,
    /// The request may have run.
    unknown,
};

struct send_result {
    send_outcome outcome{send_outcome::unknown};
    /// For the log.
    std::string reason;
    std::optional<http::response> answer;

    bool server_error() const { return answer && answer->result_int() >= 500; }
};

} // namespace cyclamenledge::forwarding_entry
