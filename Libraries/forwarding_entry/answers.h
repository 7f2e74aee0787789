#pragma once

#include "base/error.h"
#include "http/message.h"
#include "http/upstream_connection.h"

#include <string>

namespace cyclamenledge::forwarding_entry {

/// An answer of this process. Retry-After carries the exact time, in seconds with a fraction.
http::response own_answer(base::error const& failure);

/// A target's answer as the caller receives it.
http::response target_answer(http::response_head const& head, std::string body);

/// The head of a target's streamed answer as the caller receives it.
http::response_head streamed_head(http::response_head const& head);

} // namespace cyclamenledge::forwarding_entry
