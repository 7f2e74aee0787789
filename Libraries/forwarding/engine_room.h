#pragma once

#include "base/time.h"
#include "forwarding/engine_report.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

/// What was promised of an engine since its report.
struct engine_promises {
    double memory_tokens{0};
    double unread_tokens{0};
    std::uint32_t requests{0};
};

/// Whether an engine has room, from its report and what was promised since. Agents and entries ask the same questions:
/// entries to choose an engine, agents to confirm the choice with what they know and the entry does not.
class engine_room {
public:
    /// A prompt that would wait longer than this for the prompts before it is better kept at the entry: from the queue
    /// of an engine that stops it could not be moved. The objectives of first events leave about a second of waiting.
    static constexpr base::milliseconds longest_read_wait{500};

    engine_room(engine_report const& report, engine_promises const& promises, base::duration report_age);

    /// Time until the engine begins to read a new prompt.
    base::milliseconds read_wait() const;
    /// Share of the engine's memory that is taken or promised.
    double committed_share() const;
    bool takes_prompt(std::uint32_t memory_tokens, std::uint32_t slots) const;
    /// Whether the memory of a running request fits. Such a request is admitted first, so that prompts do not matter.
    bool takes_copy(std::uint32_t tokens, double share, std::uint32_t slots) const;

private:
    engine_report const& report_;
    engine_promises promises_;
    base::milliseconds report_age_;
};

} // namespace cyclamenledge::forwarding
