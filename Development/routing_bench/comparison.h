#pragma once

#include <cstdint>

namespace cyclamenledge::routing_bench {

/// Prints p95 and p99 queueing and the share of cross-region traffic of the routing choice, round robin and least
/// outstanding, as ratios to the routing choice. Entries see lagging hints; targets are queues in virtual time.
void compare_choices(std::uint64_t seed);

} // namespace cyclamenledge::routing_bench
