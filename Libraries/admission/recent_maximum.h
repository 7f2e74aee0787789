#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace cyclamenledge::admission {

/// Maximum of a count over the last one to two spans, which covers the lag of a load report.
class recent_maximum {
public:
    void record(std::uint64_t value, base::time_point now) {
        roll(now);
        current_ = std::max(current_, value);
    }

    std::uint64_t value(std::uint64_t current_value, base::time_point now) {
        record(current_value, now);
        return std::max(current_, previous_);
    }

private:
    static constexpr base::duration span = base::seconds{2};

    void roll(base::time_point now) {
        if (now < start_ + span)
            return;
        previous_ = current_;
        current_ = 0;
        start_ = now;
    }

    base::time_point start_{};
    std::uint64_t current_{0};
    std::uint64_t previous_{0};
};

} // namespace cyclamenledge::admission
