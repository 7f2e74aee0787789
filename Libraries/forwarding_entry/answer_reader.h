#pragma once

#include "forwarding/target_notices.h"
#include "http/upstream_connection.h"

#include <cstddef>
#include <functional>
#include <string>

namespace cyclamenledge::forwarding_entry {

struct expected_answer {
    /// Id of the request that was sent.
    std::string request;
    /// The answer to a HEAD request has no body.
    bool has_body{true};
    /// Upper bound of the bodies of all mismatched answers, which are read and dropped.
    std::size_t maximum_bytes{0};
    std::function<base::milliseconds()> time_left;
    /// Gets the notices in each answer of the target, also in late answers to earlier requests.
    forwarding::notices_handler on_notices{};
};

/// Reads the head of the answer to a request. Late answers to earlier requests are read and dropped; a connection that
/// carried one is not reused, because another one may follow.
http::awaitable_result<http::response_head> read_matching_head(http::upstream_pointer connection,
                                                               expected_answer expected);

} // namespace cyclamenledge::forwarding_entry
