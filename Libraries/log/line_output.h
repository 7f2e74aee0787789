#pragma once

#include "base/time.h"
#include "log/line_budget.h"

#include <mutex>
#include <string>

namespace cyclamenledge::log {

/// Writes whole lines to standard output without ever waiting for its reader. All functions may be called from any
/// thread.
class line_output {
public:
    /// Writes the line unless the budget is used up or the reader is behind.
    void write(severity level, std::string line);
    std::uint64_t take_dropped();

private:
    std::mutex mutex_;
    line_budget budget_;
};

} // namespace cyclamenledge::log
