#pragma once

#include "forwarding/connection_end.h"
#include "forwarding_entry/entry_parts.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// An incarnation of a target that has ended a connection.
struct target_inquiry {
    /// The request that the connection carried, and its run. Zero for a plain call.
    std::string request;
    std::uint32_t run{0};
    std::string target;
    /// IP:PORT of the target.
    std::string address;
    /// See target_record.
    std::int64_t started_at{0};
    /// Whether the target reports its load, and with it the start of its incarnation.
    bool reports{false};
    /// When the answer is useless.
    base::time_point deadline{};
    forwarding::stop_effect stopped{forwarding::stop_effect::none};
};

/// Whether the end of the connection is that of an answer with neither a length nor chunks, see ends_whole_answer.
/// Unless it may have stopped the run, the target is asked whether its incarnation lives on. A target that reports no
/// load only has to accept a connection.
boost::asio::awaitable<bool> connection_ends_answer(entry_parts& parts, target_inquiry asked);

} // namespace cyclamenledge::forwarding_entry
