#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cyclamenledge::forwarding {

/// Number of entries that divide a bound among themselves: the largest number seen within the lifetime. Entries that a
/// partition hides still use their part of the bound, so the number must not fall while they are out of sight.
class entry_count {
public:
    /// Longer than regions are cut off from each other.
    static constexpr base::seconds lifetime{2 * 3600};

    void observe(std::uint32_t count, base::time_point now);
    /// No value if no entry was observed within the lifetime. Nothing may then be divided: any part may be too large.
    std::optional<std::uint32_t> value(base::time_point now) const;

private:
    struct observation {
        std::uint32_t count{0};
        base::time_point at{};
    };
    /// Observations that no later one reaches, largest and oldest first.
    std::deque<observation> observations_;
};

} // namespace cyclamenledge::forwarding
