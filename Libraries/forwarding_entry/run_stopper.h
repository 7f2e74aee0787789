#pragma once

#include "forwarding/run_handover.h"
#include "forwarding_entry/entry_parts.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// A run that is to be stopped.
struct stop_request {
    std::string request;
    std::string target;
    /// Start of the target's incarnation, see target_record.
    std::int64_t target_started_at{0};
    /// IP:PORT of the target.
    std::string address;
    /// IP:PORT of the engine that gets the memory of the run.
    std::string destination;
    /// Events of the run that have arrived. An answer that names fewer is not about this run.
    std::uint64_t events{0};
    /// To the target. Another one is opened if it is null.
    http::upstream_pointer connection;
};

struct stop_answer {
    forwarding::stop_outcome outcome{forwarding::stop_outcome::not_stopped};
    /// Identifies the memory of the stopped run in the request that goes on from it. Empty unless it is known.
    std::string handle;
    /// Events that the run had made. Empty if the target did not say.
    std::optional<std::uint64_t> events;
    forwarding::stop_effect effect{forwarding::stop_effect::none};
    /// The connection that carried the last call: its local port, and the number of requests before the call. Both are
    /// zero without a call.
    std::uint16_t local_port{0};
    std::uint64_t earlier_requests{0};
};

/// Stops a run at its target, and finds out whether it has ended. A closed connection does not show that: targets may
/// not notice it, and the end of a connection may be a fault of the network.
boost::asio::awaitable<stop_answer> stop_run(entry_parts& parts, stop_request wanted);

} // namespace cyclamenledge::forwarding_entry
