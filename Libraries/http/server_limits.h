#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace cyclamenledge::http {

/// Bounds on what a client may send and how long it may take.
struct server_limits {
    std::size_t header_bytes{16 * 1024};
    std::size_t body_bytes{1024 * 1024};
    base::milliseconds header_timeout{30000};
    base::milliseconds body_timeout{30000};
    base::milliseconds write_timeout{60000};
    base::milliseconds idle_timeout{75000};
    std::uint32_t connections{20000};
    /// How long a closed connection is still read, so that the peer's unread bytes do not reset it.
    base::milliseconds linger_timeout{1000};
    std::size_t linger_bytes{std::size_t{1024} * 1024};
};

} // namespace cyclamenledge::http
