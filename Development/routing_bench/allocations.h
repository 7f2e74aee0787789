#pragma once

#include <cstdint>

namespace cyclamenledge::routing_bench {

/// Calls of operator new in this process so far.
std::uint64_t allocation_count();

} // namespace cyclamenledge::routing_bench
