#pragma once

#include <algorithm>
#include <cstdint>

namespace cyclamenledge::forwarding {

/// Size of a generation in tokens, as stated by the caller.
struct generation_size {
    std::uint32_t prompt{0};
    std::uint32_t output_limit{0};
    /// The caller's estimate of the output length. It is correct at the median but often far off. Zero if absent.
    std::uint32_t output_hint{0};

    /// Tokens of memory to reserve for the output. Outputs longer than their hint are balanced by shorter ones.
    std::uint32_t expected_output() const {
        return output_hint == 0 ? output_limit : std::min(output_limit, output_hint);
    }
    std::uint32_t expected_memory() const { return prompt + expected_output(); }
};

} // namespace cyclamenledge::forwarding
