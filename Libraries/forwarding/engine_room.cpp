#include "forwarding/engine_room.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

engine_room::engine_room(engine_report const& report, engine_reservations const& reservations,
                         base::duration report_age)
    : report_(report)
    , reservations_(reservations)
    , report_age_(std::chrono::duration_cast<base::milliseconds>(report_age)) {}

base::milliseconds engine_room::read_wait() const {
    auto const read_since = report_.reading_pace * static_cast<double>(report_age_.count());
    auto const unread = std::max(0.0, report_.unread_tokens - read_since) + reservations_.unread_tokens;
    return base::milliseconds{static_cast<std::int64_t>(unread / report_.reading_pace)};
}

double engine_room::committed_share() const {
    return (report_.committed_tokens + reservations_.memory_tokens) / std::max(1U, report_.total_tokens);
}

bool engine_room::fits_prompt(std::uint32_t memory_tokens, std::uint32_t slots, prompt_limits const& limits) const {
    auto const committed = report_.committed_tokens + reservations_.memory_tokens;
    auto const share = committed > 0 ? limits.memory_share : 1;
    return committed + memory_tokens <= share * report_.total_tokens &&
           report_.running + report_.queued + reservations_.requests < slots && read_wait() <= limits.read_wait;
}

bool engine_room::fits_copy(std::uint32_t tokens, double share, std::uint32_t slots) const {
    return report_.used_tokens + reservations_.memory_tokens + tokens <= share * report_.total_tokens &&
           report_.running + reservations_.requests < slots;
}

} // namespace cyclamenledge::forwarding
