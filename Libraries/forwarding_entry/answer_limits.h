#pragma once

#include <cstddef>

namespace cyclamenledge::forwarding_entry {

inline constexpr std::size_t smallest_vm_memory_bytes = 88'000'000;
/// Memory for the answers that are read or not yet written to their callers, and for events that have not ended. The
/// rest is for tables, buffers of the kernel and the copy of an answer that grows.
inline constexpr std::size_t answer_memory_bytes = smallest_vm_memory_bytes / 4;
/// Largest answer of a plain call that is passed on.
inline constexpr std::size_t maximum_answer_bytes = 8UL * 1024 * 1024;
/// Largest answer to a stream's request other than the stream.
inline constexpr std::size_t maximum_refusal_bytes = 256UL * 1024;

} // namespace cyclamenledge::forwarding_entry
