#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::catalogue {

/// What matters most for the callers of a class.
enum class class_goal : std::uint8_t { token_gap, completion };

/// When a request of a class may be sent to another region.
enum class region_crossing : std::uint8_t { never, when_full, always };

/// Treatment shared by a group of organisations.
struct service_class {
    std::string name;
    std::string owner;
    class_goal goal{class_goal::token_gap};
    base::milliseconds token_gap_target{49};
    base::milliseconds first_token_target{390};
    /// Quantile of the output length that admission reserves, in (0, 1).
    double admission_quantile{0.8};
    /// Share of the queue's service relative to other classes.
    std::uint32_t weight{1};
    /// Priority passed to engines, 0 is the lowest.
    std::uint32_t priority{0};
    /// Requests of this class that may wait at one target.
    std::uint32_t queue_limit{64};
    /// Longest wait in a target's queue.
    base::milliseconds queue_deadline{5000};
    region_crossing crossing{region_crossing::when_full};
};

} // namespace cyclamenledge::catalogue
