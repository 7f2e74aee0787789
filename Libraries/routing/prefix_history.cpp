#include "routing/prefix_history.h"

namespace cyclamenledge::routing {

void prefix_history::on_routed(std::uint64_t prefix, std::uint32_t target, base::time_point now) {
    if (prefix != 0)
        slots_[prefix % slot_count] = {prefix, now, target};
}

void prefix_history::on_stored(std::uint64_t prefix, std::uint32_t target, base::time_point now) {
    if (!is_live(slots_[prefix % slot_count], now))
        on_routed(prefix, target, now);
}

void prefix_history::on_evicted(std::uint64_t prefix, std::uint32_t target) {
    auto& recorded = slots_[prefix % slot_count];
    if (recorded.prefix == prefix && recorded.target == target)
        recorded = {};
}

std::optional<std::uint32_t> prefix_history::find(std::uint64_t prefix, base::time_point now) const {
    auto const& recorded = slots_[prefix % slot_count];
    if (prefix == 0 || recorded.prefix != prefix || !is_live(recorded, now))
        return std::nullopt;
    return recorded.target;
}

} // namespace cyclamenledge::routing
