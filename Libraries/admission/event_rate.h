#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace cyclamenledge::admission {

/// Events per second over the last one to two windows.
class event_rate {
public:
    void on_event(base::time_point now) {
        roll(now);
        ++current_;
    }

    /// Returns zero before the first event.
    double per_second(base::time_point now) {
        roll(now);
        auto const span = base::to_seconds(now - window_start_ + window);
        return (current_ + previous_) / std::max(span, 1.0);
    }

private:
    static constexpr base::duration window = base::seconds{5};

    void roll(base::time_point now) {
        if (now < window_start_ + window)
            return;
        previous_ = now < window_start_ + 2 * window ? current_ : 0;
        current_ = 0;
        window_start_ = now;
    }

    base::time_point window_start_{};
    double current_{0};
    double previous_{0};
};

} // namespace cyclamenledge::admission
