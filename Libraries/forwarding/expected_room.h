#pragma once

#include "base/time.h"
#include "forwarding/engine_report.h"
#include "forwarding/prompt_limits.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamenledge::forwarding {

/// Memory that a request occupies at an engine until it is expected to end.
struct memory_release {
    base::milliseconds after{};
    double tokens{0};
};

/// Capacity that one or several prompts need.
struct prompt_need {
    double memory_tokens{0};
    double unread_tokens{0};
    std::uint32_t requests{1};

    prompt_need& operator+=(prompt_need const& other);
};

/// Estimates when an engine has room for a prompt, from the expected ends of the requests that occupy it. Beyond the
/// last of them, memory and slots are expected to become free at the same rate.
class expected_room {
public:
    /// The report includes the reservations. The releases are those of the requests in it, in any order.
    expected_room(engine_report const& report, std::vector<memory_release> releases, std::uint32_t slots);

    /// Time until a prompt gets room after those that are ahead of it. Zero if it fits now. No value if it is larger
    /// than its class may ever occupy, or if no request is known whose end would make room.
    std::optional<base::milliseconds> time_until(prompt_need const& need, prompt_need const& ahead,
                                                 prompt_limits const& limits) const;

private:
    base::milliseconds read_delay(prompt_need const& ahead, prompt_limits const& limits) const;

    engine_report const& report_;
    /// Ordered by time.
    std::vector<memory_release> releases_;
    std::uint32_t slots_;
};

} // namespace cyclamenledge::forwarding
