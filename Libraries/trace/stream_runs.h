#pragma once

#include "base/time.h"
#include "trace/request_trace.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::trace {

/// One run of a request at a target, as the entry that sent it logged it (run_sent, run_ended).
struct stream_run {
    std::string number;
    std::string target;
    /// The copy of an earlier run's memory from which it went on. Empty for a run of its own.
    std::string from;
    base::milliseconds sent{};
    /// Empty while the log does not show its end.
    std::optional<base::milliseconds> ended;
    std::string ended_by;
    /// Ids of the first and the last event, and how many arrived. Zero while the log does not show the end, and if they
    /// have no ids.
    std::uint64_t first_event{0};
    std::uint64_t last_event{0};
    std::uint64_t events{0};
    /// What shows the end of the target's answer.
    std::string framing;
};

/// Two runs of a request that went on at the same time.
struct run_overlap {
    stream_run earlier;
    stream_run later;
    base::milliseconds length{};
};

/// The runs on the path of a request, in the order in which they were sent.
std::vector<stream_run> find_runs(std::vector<traced_line> const& path);
std::vector<run_overlap> find_overlaps(std::vector<stream_run> const& runs);

/// One line of text for people.
std::string describe(stream_run const& run);
std::string describe(run_overlap const& overlap);

} // namespace cyclamenledge::trace
