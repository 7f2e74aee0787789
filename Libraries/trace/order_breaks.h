#pragma once

#include "trace/request_trace.h"
#include "trace/stream_runs.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::trace {

/// What may be wrong with the order of a stream's events, or with its end.
enum class order_break_kind : std::uint8_t {
    /// A run began or went on behind events that no run had sent.
    missing,
    /// A run sent events that the caller or the entry had already.
    repeated,
    /// The stream counts as complete because a connection ended, as that of a crashed target does too, and
    /// nobody
    /// has asked the target.
    ended_with_connection,
};
inline constexpr std::size_t order_break_kind_count =
    static_cast<std::size_t>(order_break_kind::ended_with_connection) + 1;

struct order_break {
    order_break_kind kind{order_break_kind::missing};
    std::string run;
    /// The ids of the events, both included. Zero for an end.
    std::uint64_t first{0};
    std::uint64_t last{0};
};

/// Compares the events of the runs with each other and with the event after which the caller took the stream up. Runs
/// whose events have no ids are left out.
std::vector<order_break> find_order_breaks(std::vector<traced_line> const& path, std::vector<stream_run> const& runs);

/// One line of text for people.
std::string describe(order_break const& found);

} // namespace cyclamenledge::trace
