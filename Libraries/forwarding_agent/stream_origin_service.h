#pragma once

#include "forwarding/stream_origins.h"
#include "link/hub.h"

namespace cyclamenledge::forwarding_agent {

/// Remembers for the entries which software versions began streams, so that this is known after an entry has ended.
class stream_origin_service {
public:
    explicit stream_origin_service(link::hub& hub)
        : hub_(hub) {}

    /// Registers for frames. Called once, before the first connection.
    void start();

private:
    link::hub& hub_;
    forwarding::stream_origins origins_;
};

} // namespace cyclamenledge::forwarding_agent
