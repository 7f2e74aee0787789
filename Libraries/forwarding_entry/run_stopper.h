#pragma once

#include "forwarding/stop_judgement.h"
#include "forwarding_entry/entry_parts.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
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
    forwarding::run_condition condition{forwarding::run_condition::leaving};
    /// Tells whether the connection over which the run's events come has ended.
    std::function<forwarding::run_connection()> run_connection;
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
    /// What the outcome was concluded from.
    forwarding::stop_call call{forwarding::stop_call::declined};
    forwarding::run_evidence evidence{forwarding::run_evidence::none};
    /// The connection that carried the last call: its local port, and the number of requests before the call. Both are
    /// zero without a call.
    std::uint16_t local_port{0};
    std::uint64_t earlier_requests{0};
};

/// Stops a run at its target, and finds out whether it has ended, see forwarding::judge_stop. The call goes over a
/// connection of this process, or else over that of the agent beside the target.
boost::asio::awaitable<stop_answer> stop_run(entry_parts& parts, stop_request wanted);

} // namespace cyclamenledge::forwarding_entry
