#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::orders {

using fencing_number = std::uint64_t;

/// Low bits that tell incarnations apart that start in the same millisecond. The other 42 bits hold milliseconds since
/// 1970, which last until the year 2109.
inline constexpr unsigned fencing_incarnation_bits = 22;
/// An agent may raise its number only this long after its start. A process that was paused for longer may have been
/// replaced in the meantime.
inline constexpr base::seconds fencing_raise_window{30};

/// What the agent does after the engine answered with a higher number.
enum class fencing_verdict : std::uint8_t { repeat_raised, superseded };

std::string_view name_of(fencing_verdict verdict);

/// The fencing number of one incarnation of an agent. It grows over incarnations without stored state.
class fencing {
public:
    fencing(base::wall_time started, std::uint64_t incarnation, base::time_point now);

    /// The number to send with an order. None once superseded: this incarnation gives no more orders.
    std::optional<fencing_number> number() const;
    void on_accepted() { accepted_ = true; }
    /// Before its first accepted order, a fresh agent raises its number once, because an earlier incarnation had a
    /// clock that was ahead. Later, a higher number means that a newer incarnation has taken over.
    fencing_verdict on_higher(fencing_number seen, base::time_point now);

private:
    fencing_number number_;
    fencing_number incarnation_part_;
    base::time_point started_;
    bool accepted_{false};
    bool raised_{false};
    bool superseded_{false};
};

} // namespace cyclamenledge::orders
