#pragma once

#include <algorithm>
#include <cstdint>

namespace cyclamenledge::forwarding {

/// What a caller says about the size of a generation, in tokens.
struct generation_size {
    std::uint32_t prompt{0};
    std::uint32_t output_limit{0};
    /// The caller's estimate of the output. Right at the median, often far off. Zero without one.
    std::uint32_t output_hint{0};

    /// Memory to set aside for the output. The outputs that are longer than their hint are set off by the shorter ones.
    std::uint32_t expected_output() const {
        return output_hint == 0 ? output_limit : std::min(output_limit, output_hint);
    }
    std::uint32_t expected_memory() const { return prompt + expected_output(); }
};

} // namespace cyclamenledge::forwarding
