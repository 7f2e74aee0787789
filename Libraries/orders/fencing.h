#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::orders {

using fencing_number = std::uint64_t;

/// Number of low bits that distinguish incarnations started in the same millisecond. The other 42 bits hold
/// milliseconds since 1970, which last until the year 2109.
inline constexpr unsigned fencing_incarnation_bits = 22;
/// Time after its start within which an agent may raise its number. A process that was paused for longer may have been
/// replaced.
inline constexpr base::seconds fencing_raise_window{30};

/// Reaction of an agent to an answer in which the engine returned a higher number.
enum class fencing_verdict : std::uint8_t { repeat_raised, superseded };

std::string_view name_of(fencing_verdict verdict);

/// Fencing number of one incarnation of an agent. Numbers increase across incarnations without persistent state.
class fencing {
public:
    fencing(base::wall_time started, std::uint64_t incarnation, base::time_point now);

    /// The number to send with an order; no value after a newer incarnation has superseded this one, which must not
    /// send orders any more.
    std::optional<fencing_number> number() const;
    void on_accepted() { order_accepted_ = true; }
    /// Handles a higher number that the engine returned. Before its first accepted order, a newly started
    /// agent raises its number once, because the clock of an earlier incarnation may have been ahead. Later, a higher
    /// number means that a newer incarnation has replaced this one.
    fencing_verdict on_higher_number(fencing_number engine_number, base::time_point now);

private:
    fencing_number number_;
    fencing_number incarnation_part_;
    base::time_point started_;
    bool order_accepted_{false};
    bool number_raised_{false};
    bool superseded_{false};
};

} // namespace cyclamenledge::orders
