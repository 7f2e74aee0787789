#pragma once

#include "base/time.h"
#include "forwarding/engine_report.h"
#include "forwarding/prompt_limits.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

/// Sum of the reservations at an engine that its last report does not include.
struct engine_reservations {
    double memory_tokens{0};
    double unread_tokens{0};
    std::uint32_t requests{0};
};

/// Free capacity of an engine, computed from its report and the reservations made since. Entries use this class to
/// choose an engine; agents use it to confirm the choice, because they also count the reservations of other entries.
class engine_room {
public:
    engine_room(engine_report const& report, engine_reservations const& reservations, base::duration report_age);

    /// Time until the engine begins the prefill of a new prompt.
    base::milliseconds read_wait() const;
    /// Share of the engine's memory that is in use or reserved.
    double committed_share() const;
    /// Whether a prompt fits within the limits of its class. An engine without requests takes any prompt that fits its
    /// memory.
    bool fits_prompt(std::uint32_t memory_tokens, std::uint32_t slots,
                     prompt_limits const& limits = immediate_prompt_limits) const;
    /// Whether the memory of a running request fits. Unread prompts are ignored, because a copied request is admitted
    /// before them.
    bool fits_copy(std::uint32_t tokens, double share, std::uint32_t slots) const;

private:
    engine_report const& report_;
    engine_reservations reservations_;
    base::milliseconds report_age_;
};

} // namespace cyclamenledge::forwarding
