#pragma once

#include "base/error.h"
#include "http/message.h"
#include "http/upstream_connection.h"

#include <string>

namespace cyclamenledge::forwarding_entry {

/// Builds the answer for an error of this process. Retry-After holds the exact time in seconds with a fraction.
http::response make_error_answer(base::error const& failure);

/// Tells the caller of a refusal when to return, unless the answer already does.
void set_return_time(http::response& answer, base::milliseconds time);

/// The refusal of a request whose content has crashed targets. It may be sent again once the crash records expire.
base::error make_poison_refusal(base::milliseconds time_to_expiry);

/// Builds the caller's answer from a target's answer, without the headers that concern one connection only.
http::response make_caller_answer(http::response_head const& head, std::string body);

/// Builds the head of the caller's stream from the head of a target's stream.
http::response_head make_caller_head(http::response_head const& head);

} // namespace cyclamenledge::forwarding_entry
